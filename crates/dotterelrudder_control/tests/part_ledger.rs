//! Which parts of prompts are blocked: the one that crashes runners, and no part of sound requests.

use std::time::Duration;

use dotterelrudder_control::PartLedger;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::RunnerLoss;
use dotterelrudder_wire::SharedPart;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn part(id: &str) -> SharedPart {
    SharedPart {
        model: "m".into(),
        id: id.into(),
    }
}

fn whole(fingerprint: &str) -> SharedPart {
    SharedPart::whole_request(fingerprint.into())
}

/// Returns the report of a runner that ended just now, with the parts of requests that had not begun.
fn lost(runner: &str, requests: &[&[&str]]) -> PartReport {
    let requests = requests.iter();
    PartReport {
        losses: vec![RunnerLoss {
            runner: runner.into(),
            sent_ago: ms(50),
            lost_ago: ms(1),
            requests: requests
                .map(|r| r.iter().map(|id| part(id)).collect())
                .collect(),
        }],
        ..PartReport::default()
    }
}

/// Returns the report that requests with a part began just now.
fn begun(id: &str) -> PartReport {
    PartReport {
        begun: vec![(part(id), ms(1))],
        ..PartReport::default()
    }
}

/// Returns the blocked parts, blocks separated by spaces.
fn blocked(ledger: &PartLedger, now: Duration) -> String {
    let blocks = ledger.verdicts(now).blocks.into_iter();
    let ids = blocks.map(|b| {
        let ids: Vec<String> = b.parts.iter().map(|p| p.id.to_string()).collect();
        ids.join("+")
    });
    ids.collect::<Vec<String>>().join(" ")
}

#[test]
fn a_part_is_blocked_once_four_runners_ended_under_it() {
    let mut ledger = PartLedger::default();
    ledger.on_report(lost("z", &[&["x", "bad"], &["x", "s3"]]), ms(900));
    ledger.on_report(lost("a", &[&["x", "bad"], &["x", "s1"]]), ms(1_000));
    ledger.on_report(lost("b", &[&["x", "bad"]]), ms(1_100));
    ledger.on_report(begun("x"), ms(1_150));
    ledger.on_report(lost("c", &[&["x", "bad"], &["x", "s2"]]), ms(1_200));
    ledger.tick(ms(1_240));
    assert_eq!(blocked(&ledger, ms(1_240)), "", "before entries answered");
    ledger.tick(ms(1_400));
    assert_eq!(blocked(&ledger, ms(1_400)), "bad");
}

/// Returns the report of a runner that ended just now under whole requests.
fn lost_whole(runner: &str, requests: &[&[SharedPart]]) -> PartReport {
    let mut report = lost(runner, &[]);
    report.losses[0].requests = requests.iter().map(|r| r.to_vec()).collect();
    report
}

#[test]
fn a_request_is_blocked_once_three_runners_ended_under_it() {
    let mut ledger = PartLedger::default();
    for n in 0..3u64 {
        let (dead, other) = ([whole("dead")], [whole(&format!("q{n}"))]);
        let now = ms(1_000 + 300 * n);
        assert_eq!(blocked(&ledger, now), "");
        ledger.on_report(lost_whole(&format!("r{n}"), &[&other, &dead]), now);
        ledger.tick(now + ms(50));
    }
    assert_eq!(blocked(&ledger, ms(1_700)), "dead");
}

#[test]
fn a_request_that_begins_in_between_is_not_blocked() {
    let mut ledger = PartLedger::default();
    for n in 0..9u64 {
        let now = ms(1_000 + 300 * n);
        ledger.on_report(lost_whole(&format!("r{n}"), &[&[whole("get")]]), now);
        let begun = vec![(whole("get"), ms(1))];
        let report = PartReport {
            begun,
            ..PartReport::default()
        };
        ledger.on_report(report, now + ms(100));
        ledger.tick(now + ms(200));
        assert_eq!(blocked(&ledger, now), "");
    }
}

#[test]
fn a_request_that_many_send_is_not_blocked_when_a_rack_is_lost() {
    let mut ledger = PartLedger::default();
    for n in 0..9 {
        let now = ms(1_000 + n);
        ledger.on_report(lost_whole(&format!("r{n}"), &[&[whole("get")]]), now);
    }
    let report = PartReport {
        begun: vec![(whole("get"), ms(100))],
        ..PartReport::default()
    };
    ledger.on_report(report, ms(1_050));
    ledger.tick(ms(5_000));
    assert_eq!(blocked(&ledger, ms(5_000)), "");
}

#[test]
fn a_crashing_part_is_blocked_though_one_request_with_it_was_blocked_first() {
    let mut ledger = PartLedger::default();
    for n in 0..3u64 {
        let dead = [part("bad"), whole("dead")];
        let now = ms(1_000 + 300 * n);
        ledger.on_report(lost_whole(&format!("r{n}"), &[&dead]), now);
        ledger.tick(now + ms(50));
    }
    assert_eq!(blocked(&ledger, ms(1_700)), "dead+bad");
    // Another request with the part crashes two more runners.
    for n in 3..5u64 {
        let other = [part("bad"), whole("other")];
        let now = ms(1_000 + 300 * n);
        ledger.on_report(lost_whole(&format!("r{n}"), &[&other]), now);
        ledger.tick(now + ms(250));
    }
    let parts = blocked(&ledger, ms(2_500));
    assert!(parts.split(' ').any(|b| b == "bad"), "{parts}");
}

#[test]
fn parts_of_a_blocked_request_stay_open_while_only_the_request_crashes() {
    let mut ledger = PartLedger::default();
    for n in 0..7u64 {
        let dead = [part("session"), whole("dead")];
        let beside = [part("beside"), whole("sound")];
        let now = ms(1_000 + 300 * n);
        ledger.on_report(lost_whole(&format!("r{n}"), &[&beside, &dead]), now);
        ledger.tick(now + ms(50));
        if n == 0 {
            let report = PartReport {
                begun: vec![(part("beside"), ms(1)), (whole("sound"), ms(1))],
                ..PartReport::default()
            };
            ledger.on_report(report, now + ms(100));
        }
    }
    assert_eq!(blocked(&ledger, ms(4_000)), "dead+session");
}

#[test]
fn a_request_that_ran_beside_a_blocked_one_is_blocked_after_two_more_ends() {
    let mut ledger = PartLedger::default();
    let end = |ledger: &mut PartLedger, n: u64, requests: &[&str]| {
        let requests: Vec<[SharedPart; 1]> = requests.iter().map(|id| [whole(id)]).collect();
        let requests: Vec<&[SharedPart]> = requests.iter().map(|r| &r[..]).collect();
        let now = ms(1_000 + 300 * n);
        ledger.on_report(lost_whole(&format!("r{n}"), &requests), now);
        ledger.tick(now + ms(260));
        blocked(ledger, now + ms(260))
    };
    end(&mut ledger, 0, &["first"]);
    for n in 1..3 {
        end(&mut ledger, n, &["first", "second", "sound"]);
    }
    assert_eq!(end(&mut ledger, 3, &["first", "second"]), "first");
    assert_eq!(end(&mut ledger, 4, &["second", "sound"]), "first");
    assert_eq!(end(&mut ledger, 5, &["second"]), "first second");
}

#[test]
fn the_request_counts_among_many_that_several_entries_lost() {
    let mut ledger = PartLedger::default();
    for n in 0..3u64 {
        let now = ms(1_000 + 300 * n);
        let runner = format!("r{n}");
        for entry in 0..4u64 {
            let sound: Vec<[SharedPart; 1]> = (0..30)
                .map(|k| [whole(&format!("q{n}-{entry}-{k}"))])
                .collect();
            let sound: Vec<&[SharedPart]> = sound.iter().map(|r| &r[..]).collect();
            ledger.on_report(lost_whole(&runner, &sound), now + ms(entry));
        }
        ledger.on_report(lost_whole(&runner, &[&[whole("dead")]]), now + ms(7));
        ledger.tick(now + ms(250));
    }
    assert_eq!(blocked(&ledger, ms(1_900)), "dead");
}

#[test]
fn the_end_of_one_runner_counts_once_however_many_entries_saw_it() {
    let mut ledger = PartLedger::default();
    for at in [1_000, 1_005, 1_030, 1_040] {
        ledger.on_report(lost("a", &[&["s"]]), ms(at));
    }
    ledger.tick(ms(2_000));
    assert_eq!(blocked(&ledger, ms(2_000)), "");
    // The same runner, started again: a request was sent to it after its end.
    for at in [3_000, 5_000, 7_000] {
        ledger.on_report(lost("a", &[&["s"]]), ms(at));
    }
    ledger.tick(ms(7_300));
    assert_eq!(blocked(&ledger, ms(7_300)), "s");
}

#[test]
fn parts_with_which_requests_begin_are_not_blocked() {
    let mut ledger = PartLedger::default();
    for n in 0..20 {
        let now = ms(1_000 + 300 * n);
        ledger.on_report(lost(&format!("r{n}"), &[&["x", "s"]]), now);
        ledger.on_report(begun("x"), now + ms(100));
        ledger.on_report(begun("s"), now + ms(100));
        ledger.tick(now + ms(200));
        assert_eq!(blocked(&ledger, now), "");
    }
}

#[test]
fn runners_that_are_lost_together_do_not_block_a_part_that_began_before() {
    let mut ledger = PartLedger::default();
    for n in 0..9 {
        ledger.on_report(lost(&format!("r{n}"), &[&["x", "s"]]), ms(1_000 + n));
    }
    ledger.on_report(
        PartReport {
            begun: vec![(part("x"), ms(100)), (part("s"), ms(4_000))],
            ..PartReport::default()
        },
        ms(1_050),
    );
    ledger.tick(ms(5_000));
    assert_eq!(blocked(&ledger, ms(5_000)), "");
}

#[test]
fn a_request_beside_a_crashing_part_is_not_blocked_with_it() {
    let mut ledger = PartLedger::default();
    for n in 0..5 {
        let beside: &[&[&str]] = if n < 4 {
            &[&["x", "bad"], &["x", "unlucky"]]
        } else {
            &[&["x", "bad"]]
        };
        ledger.on_report(lost(&format!("r{n}"), beside), ms(1_000 + 100 * n));
    }
    ledger.on_report(begun("x"), ms(1_450));
    ledger.tick(ms(1_800));
    assert_eq!(blocked(&ledger, ms(1_800)), "bad");
}

#[test]
fn parts_that_cannot_be_told_apart_are_blocked_only_together() {
    let mut ledger = PartLedger::default();
    for n in 0..4 {
        let beside: &[&[&str]] = &[&["bad", "idle"], &["s"]];
        ledger.on_report(lost(&format!("r{n}"), beside), ms(1_000 + 100 * n));
    }
    ledger.on_report(begun("s"), ms(1_350));
    ledger.tick(ms(1_600));
    assert_eq!(blocked(&ledger, ms(1_600)), "bad+idle");
}

#[test]
fn a_block_is_lifted_when_a_request_with_its_part_begins() {
    let mut ledger = PartLedger::default();
    for n in 0..4 {
        ledger.on_report(lost(&format!("r{n}"), &[&["s"]]), ms(1_000 + 100 * n));
    }
    ledger.tick(ms(1_600));
    assert_eq!(blocked(&ledger, ms(1_600)), "s");
    ledger.on_report(begun("s"), ms(1_700));
    assert_eq!(blocked(&ledger, ms(1_700)), "");
}

#[test]
fn a_new_leader_takes_over_the_blocks_that_entries_hold() {
    let mut ledger = PartLedger::default();
    ledger.begin_leadership(ms(1_000));
    let held = || PartReport {
        held: vec![(vec![part("bad")], 1)],
        ..PartReport::default()
    };
    ledger.on_report(held(), ms(2_000));
    assert!(!ledger.verdicts(ms(2_000)).is_complete);
    ledger.tick(ms(4_500));
    assert!(ledger.verdicts(ms(4_500)).is_complete);
    assert_eq!(blocked(&ledger, ms(4_500)), "bad");
    // Later, a block that the leader doesn't know has ended.
    let other = PartReport {
        held: vec![(vec![part("lifted")], 1)],
        ..PartReport::default()
    };
    ledger.on_report(other, ms(5_000));
    assert_eq!(blocked(&ledger, ms(5_000)), "bad");
    // A block that nobody needs any more ends.
    ledger.tick(ms(5_000 + 601_000));
    assert_eq!(blocked(&ledger, ms(606_000)), "");
}

#[test]
fn a_new_leader_keeps_the_blocks_that_the_one_before_announced() {
    let mut leader = PartLedger::default();
    for n in 0..4 {
        leader.on_report(lost(&format!("r{n}"), &[&["bad"]]), ms(1_000 + 100 * n));
    }
    leader.tick(ms(1_600));
    let announced = leader
        .take_announcement(ms(1_700))
        .expect("there is a block");
    let mut next = PartLedger::default();
    next.on_announced(&announced, ms(1_710));
    assert_eq!(blocked(&next, ms(2_000)), "", "another instance leads");
    next.begin_leadership(ms(3_000));
    assert_eq!(blocked(&next, ms(3_000)), "bad");
    // The end of the last block is announced too.
    leader.on_report(begun("bad"), ms(4_000));
    let ended = leader
        .take_announcement(ms(4_500))
        .expect("the blocks changed");
    assert!(ended.blocks.is_empty());
    assert_eq!(leader.take_announcement(ms(6_000)), None);
}

/// Schedules that are played.
const SEEDS: u64 = 100;

/// A request in a simulated service.
struct Running {
    runner: usize,
    began_at: Duration,
    sent_at: Duration,
    parts: Vec<SharedPart>,
}

/// The parts of sound requests and of those that crash their runners.
struct Traffic {
    sound: fn(&mut ChaCha8Rng) -> Vec<SharedPart>,
    crashing: fn(&mut ChaCha8Rng) -> Vec<SharedPart>,
    /// The part that all crashing requests share, and one of them.
    culprit: SharedPart,
    sample: Vec<SharedPart>,
}

/// Plays sound requests beside requests that crash their runners and runners that are ended from
/// outside; returns the ends under crashing requests after which they were blocked, and the blocks
/// that ever were without the culprit.
fn play(seed: u64, runners: usize, entries: u64, traffic: &Traffic) -> (usize, Vec<String>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ledger = PartLedger::default();
    let mut up_at = vec![Duration::ZERO; runners];
    let mut running: Vec<Running> = Vec::new();
    let mut reports: Vec<(Duration, PartReport)> = Vec::new();
    let mut last_begun = std::collections::BTreeMap::new();
    let (mut ends, mut blocked_after, mut wrong) = (0, None, Vec::new());
    for step in 0..3_000u64 {
        let now = ms(step * 10);
        let blocks = ledger.verdicts(now).blocks;
        let is_blocked = |parts: &[SharedPart]| {
            blocks
                .iter()
                .any(|b| b.parts.iter().all(|p| parts.contains(p)))
        };
        for block in &blocks {
            if !block.parts.contains(&traffic.culprit) {
                wrong.push(format!("{:?} at {now:?}", block.parts));
            }
        }
        if is_blocked(&traffic.sample) {
            blocked_after = blocked_after.or(Some(ends));
        }
        let mut new = vec![(traffic.sound)(&mut rng)];
        if step > 300 && rng.random_bool(0.1) {
            new.push((traffic.crashing)(&mut rng));
        }
        for parts in new.into_iter().filter(|parts| !is_blocked(parts)) {
            let open: Vec<usize> = (0..runners).filter(|r| up_at[*r] <= now).collect();
            if let Some(runner) = open.get(rng.random_range(0..open.len().max(1))) {
                let began_at = now + ms(rng.random_range(20..200));
                running.push(Running {
                    runner: *runner,
                    began_at,
                    sent_at: now,
                    parts,
                });
            }
        }
        let mut ended: Vec<usize> = Vec::new();
        if rng.random_bool(0.002) {
            // Some runners are ended from outside at once.
            ended.extend((0..runners).filter(|_| rng.random_bool(0.4)));
        }
        running.sort_by_key(|r| r.began_at);
        let (begins, waits): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|r| r.began_at <= now);
        running = waits;
        for r in begins {
            if r.parts.contains(&traffic.culprit) {
                ends += 1;
                ended.push(r.runner);
                running.push(r);
            } else if ended.contains(&r.runner) {
                running.push(r);
            } else {
                for p in r.parts {
                    last_begun.insert(p, now);
                }
            }
        }
        for runner in ended {
            let (lost, rest): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|r| r.runner == runner);
            running = rest;
            up_at[runner] = now + ms(rng.random_range(1_500..4_000));
            for r in lost {
                // Each request comes by an entry of its own; reports of one end arrive apart.
                let delay = ms(20 + rng.random_range(1..40));
                let report = PartReport {
                    losses: vec![RunnerLoss {
                        runner: format!("r{runner}-{}", up_at[runner].as_millis()).into(),
                        sent_ago: now + delay - r.sent_at,
                        lost_ago: delay,
                        requests: vec![r.parts],
                    }],
                    ..PartReport::default()
                };
                reports.push((now + delay, report));
            }
        }
        if step % 5 == 0 {
            // Entries answer a watch within some tens of milliseconds, whatever their number.
            let watched = ledger.verdicts(now).watched.into_iter();
            let begun = watched.filter_map(|p| {
                let at = last_begun.get(&p).copied()?;
                Some((p, now - at))
            });
            let begun: Vec<_> = begun.collect();
            reports.push((
                now + ms(20 + entries.min(20)),
                PartReport {
                    begun,
                    ..PartReport::default()
                },
            ));
        }
        let (due, later): (Vec<_>, Vec<_>) = reports.into_iter().partition(|(at, _)| *at <= now);
        reports = later;
        for (_, report) in due {
            ledger.on_report(report, now);
        }
        ledger.tick(now);
    }
    (blocked_after.unwrap_or(usize::MAX), wrong)
}

fn session(rng: &mut ChaCha8Rng) -> SharedPart {
    part(&format!("s{}", rng.random_range(0..40)))
}

/// Plays all schedules; the culprit is blocked in each, and nothing else.
fn play_all(traffic: &Traffic) {
    let mut most = 0;
    for seed in 0..SEEDS {
        let (blocked_after, wrong) = play(seed, 4 + (seed as usize % 20), 2 + seed, traffic);
        // The first of them tells enough: a block is seen at each step.
        assert_eq!(wrong.first(), None, "seed {seed}");
        most = most.max(blocked_after);
    }
    println!("blocked after at most {most} ends");
    assert!(
        most < usize::MAX,
        "a schedule in which the culprit was never blocked"
    );
}

#[test]
fn random_schedules_block_the_crashing_part_and_no_sound_one() {
    play_all(&Traffic {
        sound: |rng| vec![part("first"), session(rng)],
        crashing: |rng| vec![part("first"), part("bad"), session(rng)],
        culprit: part("bad"),
        sample: vec![part("first"), part("bad"), part("s0")],
    });
}

#[test]
fn random_schedules_block_the_crashing_request_and_no_sound_one() {
    // Sound requests of a plain service, most of them new and some repeated.
    play_all(&Traffic {
        sound: |rng| vec![whole(&format!("q{}", rng.random_range(0..400u32)))],
        crashing: |_| vec![whole("dead")],
        culprit: whole("dead"),
        sample: vec![whole("dead")],
    });
}

#[test]
fn random_schedules_block_the_crashing_request_and_none_of_its_parts() {
    play_all(&Traffic {
        sound: |rng| {
            let request = whole(&format!("q{}", rng.random_range(0..4_000u32)));
            vec![part("first"), session(rng), request]
        },
        crashing: |_| vec![part("first"), part("s0"), whole("dead")],
        culprit: whole("dead"),
        sample: vec![part("first"), part("s0"), whole("dead")],
    });
}
