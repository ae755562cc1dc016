//! The byte budget and the connection table over random schedules.

use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_daemon::intake::Accept;
use dotterelrudder_daemon::intake::ByteBudget;
use dotterelrudder_daemon::intake::ConnectionTable;
use dotterelrudder_daemon::intake::Grant;
use dotterelrudder_daemon::intake::HoldingPhase;
use dotterelrudder_daemon::intake::IntakeLimits;
use dotterelrudder_daemon::intake::MachineLimits;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
/// The largest body of the configuration, in bytes.
const BODY: usize = 4 * MIB;
/// The time without progress after which a holding may be cut off.
const STALL: Duration = Duration::from_millis(250);

/// The limits of the smallest entries.
fn limits() -> IntakeLimits {
    IntakeLimits::of(MachineLimits {
        memory_bytes: 110 * MIB,
        descriptors: 2_870,
    })
}

/// One step of a schedule; the number chooses among the open holdings.
#[derive(Debug, Clone)]
enum Step {
    /// A body that announces its size, of one of some accounts.
    Announce(u8, usize),
    /// A body in chunks.
    Begin(u8),
    /// A chunk of a size arrives, and the buffer grows by doubling.
    Chunk(usize, usize),
    Pause(u64),
    /// The body is complete; its request runs.
    Run(usize),
    /// The response is sent.
    Answer(usize, usize),
    /// The request ended, or its connection was reset.
    End(usize),
    /// A waiting request asks for the one to cut off.
    Cut,
}

fn step() -> impl Strategy<Value = Step> {
    let size = prop_oneof![1..64 * KIB, Just(BODY), 1..=BODY];
    prop_oneof![
        1 => (0..4u8, size.clone()).prop_map(|(account, size)| Step::Announce(account, size)),
        1 => (0..4u8).prop_map(Step::Begin),
        4 => (any::<usize>(), size.clone()).prop_map(|(n, size)| Step::Chunk(n, size)),
        1 => (0..400u64).prop_map(Step::Pause),
        1 => any::<usize>().prop_map(Step::Run),
        1 => (any::<usize>(), size).prop_map(|(n, size)| Step::Answer(n, size)),
        1 => any::<usize>().prop_map(Step::End),
        1 => Just(Step::Cut),
    ]
}

/// What the test knows of an open holding.
#[derive(Debug, Clone, Copy)]
struct Known {
    bytes: usize,
    progress: Duration,
    is_running: bool,
    waits: bool,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None,
        rng_seed: RngSeed::Fixed(41), ..ProptestConfig::default() })]

    /// Guards against schedules of sizes, chunks, pauses, ends and resets by which more is held than the
    /// budget, something stays counted for ever, or a caller that makes progress is cut off.
    #[test]
    fn no_schedule_exceeds_the_budget_or_leaves_bytes_behind(
        steps in proptest::collection::vec(step(), 1..300),
    ) {
        let limits = limits();
        let mut budget = ByteBudget::new(limits);
        let mut now = Duration::ZERO;
        let mut open: HashMap<u64, Known> = HashMap::new();
        let mut ids: Vec<u64> = Vec::new();
        for step in steps {
            now += Duration::from_millis(1);
            let chosen = |n: usize| (!ids.is_empty()).then(|| ids[n % ids.len()]);
            let mut ended = None;
            match step {
                Step::Announce(account, size) => {
                    let id = budget.open(now, &format!("a{account}"), HoldingPhase::Receiving);
                    let grant = budget.resize(now, id, size);
                    let bytes = if grant == Grant::Granted { size } else { 0 };
                    let waits = grant == Grant::Wait;
                    let known = Known { bytes, progress: now, is_running: false, waits };
                    open.insert(id, known);
                    ids.push(id);
                }
                Step::Begin(account) => {
                    let id = budget.open(now, &format!("a{account}"), HoldingPhase::Receiving);
                    let known = Known { bytes: 0, progress: now, is_running: false, waits: false };
                    open.insert(id, known);
                    ids.push(id);
                }
                Step::Chunk(n, size) => if let Some(id) = chosen(n) {
                    let known = open.get_mut(&id).expect("it is open");
                    if !known.is_running {
                        let wanted = (known.bytes * 2).max(size).min(BODY);
                        if budget.resize(now, id, known.bytes + wanted) == Grant::Granted {
                            // The old buffer is released when its contents are moved.
                            prop_assert!(budget.held() <= limits.bytes);
                            prop_assert_eq!(budget.resize(now, id, wanted), Grant::Granted);
                            budget.progress(now, id);
                            *known = Known { bytes: wanted, progress: now, waits: false, ..*known };
                        } else {
                            known.waits = true;
                        }
                    }
                },
                Step::Pause(ms) => now += Duration::from_millis(ms),
                Step::Run(n) => if let Some(id) = chosen(n) {
                    budget.set_phase(now, id, HoldingPhase::InProgress);
                    let known = open.get_mut(&id).expect("it is open");
                    *known = Known { is_running: true, progress: now, waits: false, ..*known };
                },
                Step::Answer(n, size) => if let Some(id) = chosen(n) {
                    budget.set_phase(now, id, HoldingPhase::Answering);
                    let known = open.get_mut(&id).expect("it is open");
                    *known = Known { is_running: false, progress: now, waits: false, ..*known };
                    if budget.resize(now, id, size) == Grant::Granted {
                        known.bytes = size;
                    }
                },
                Step::End(n) => ended = chosen(n),
                Step::Cut => {
                    let cut = budget.cut(now);
                    if let Some(id) = cut {
                        let known = open[&id];
                        prop_assert!(!known.is_running, "a request in progress was cut off");
                        let stalled = now.saturating_sub(known.progress) >= STALL;
                        let holding = open.values().filter(|k| k.bytes > 0);
                        let all_wait = holding.clone().all(|k| k.waits);
                        prop_assert!(stalled || all_wait, "a caller that makes progress was cut off");
                        if stalled && !known.waits {
                            let oldest = holding.filter(|k| !k.is_running && !k.waits);
                            let oldest = oldest.map(|k| k.progress).min();
                            prop_assert_eq!(Some(known.progress), oldest);
                        }
                    }
                    ended = cut;
                }
            }
            if let Some(id) = ended {
                budget.close(now, id);
                open.remove(&id);
                ids.retain(|other| *other != id);
            }
            prop_assert!(budget.held() <= limits.bytes);
            prop_assert_eq!(budget.held(), open.values().map(|k| k.bytes).sum::<usize>());
        }
        for id in ids {
            budget.close(now, id);
        }
        prop_assert_eq!((budget.held(), budget.holdings(), budget.accounts()), (0, 0, 0));
    }

    /// Guards against large bodies that leave no room for ordinary requests.
    #[test]
    fn a_small_request_finds_room_beside_any_large_ones(
        sizes in proptest::collection::vec((0..4u8, 65 * KIB..=BODY), 1..200),
    ) {
        let mut budget = ByteBudget::new(limits());
        for (account, size) in sizes {
            let id = budget.open(Duration::ZERO, &format!("a{account}"), HoldingPhase::Receiving);
            let _granted = budget.resize(Duration::ZERO, id, size);
        }
        let id = budget.open(Duration::ZERO, "small", HoldingPhase::Receiving);
        prop_assert_eq!(budget.resize(Duration::ZERO, id, 40 * KIB), Grant::Granted);
    }

    /// Guards against connections beyond the limit, and against closing one with a request for another.
    #[test]
    fn connections_stay_within_their_limit(
        steps in proptest::collection::vec((0..5u8, any::<usize>()), 1..300),
    ) {
        let mut table = ConnectionTable::new(8);
        let mut has_request: HashMap<u64, bool> = HashMap::new();
        for (n, (kind, choice)) in steps.into_iter().enumerate() {
            let now = Duration::from_millis(n as u64);
            let mut ids: Vec<u64> = has_request.keys().copied().collect();
            ids.sort_unstable();
            let chosen = (!ids.is_empty()).then(|| ids[choice % ids.len()]);
            match (kind, chosen) {
                (0 | 1, _) | (_, None) => match table.accept(now) {
                    Accept::Accepted(id) => {
                        has_request.insert(id, false);
                    }
                    Accept::Instead(id, old) => {
                        prop_assert_eq!(has_request.remove(&old), Some(false));
                        has_request.insert(id, false);
                    }
                    Accept::Full => prop_assert!(has_request.values().all(|has| *has)),
                },
                (2, Some(id)) => {
                    table.begin(id);
                    has_request.insert(id, true);
                }
                (3, Some(id)) => {
                    table.end(now, id);
                    has_request.insert(id, false);
                }
                (_, Some(id)) => {
                    table.close(id);
                    has_request.remove(&id);
                }
            }
            prop_assert!(table.len() <= 8);
            prop_assert_eq!(table.len(), has_request.len());
        }
    }
}

/// Guards against a fair part that refuses a single legal request on the smallest machines.
#[test]
fn the_largest_request_fits_into_every_machine_without_other_load() {
    for memory_mb in [32, 64, 110, 112, 160, 260] {
        let mut budget = ByteBudget::new(IntakeLimits::of(MachineLimits {
            memory_bytes: memory_mb * MIB,
            descriptors: 2_870,
        }));
        let id = budget.open(Duration::ZERO, "", HoldingPhase::Receiving);
        // A body in chunks needs its old buffer until the contents are moved to the new one.
        let peak = budget.resize(Duration::ZERO, id, BODY + BODY / 2);
        assert_eq!(peak, Grant::Granted, "{memory_mb} MiB");
    }
}

/// Guards against one account that takes everything while the budget is scarce.
#[test]
fn an_account_gets_its_part_beside_one_that_takes_all_it_can() {
    let mut budget = ByteBudget::new(limits());
    let mut of_greedy = 0;
    for _ in 0..100 {
        let id = budget.open(Duration::ZERO, "greedy", HoldingPhase::Receiving);
        if budget.resize(Duration::ZERO, id, BODY) == Grant::Granted {
            of_greedy += 1;
        }
    }
    assert!(of_greedy > 1, "{of_greedy}");
    let id = budget.open(Duration::ZERO, "other", HoldingPhase::Receiving);
    assert_eq!(budget.resize(Duration::ZERO, id, BODY), Grant::Granted);
}
