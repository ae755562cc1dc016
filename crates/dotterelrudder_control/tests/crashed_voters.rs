//! Control instances that are removed for good without a planned stop, while successors that have
//! caught up wait for their votes.

mod support;

use std::time::Duration;

use dotterelrudder_control::RaftTiming;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Command;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::cluster::name;
use support::cluster::AfterStop;
use support::cluster::Cluster;
use support::cluster::Crash;
use support::cluster::CATCH_UP;
use support::cluster::CONTACT;
use support::cluster::TARGET_VOTERS;
use support::cluster::TICK;

/// The time after the last return in which the deployment recovers.
const RECOVER: Duration = Duration::from_secs(12);
/// The number of the last release's newest kinds of messages.
const LAST_MESSAGE_SET: u32 = 4;
const SEEDS: u64 = 60;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn settle(cluster: &mut Cluster) {
    while cluster.is_busy() {
        cluster.run(TICK);
    }
    cluster.run(RECOVER);
}

/// Starts three instances and some successors, which have caught up.
fn with_successors(successors: usize) -> Cluster {
    let mut cluster = Cluster::new();
    for _ in 0..successors {
        cluster.add();
    }
    cluster.run(CATCH_UP + ms(2_000));
    cluster
}

/// What follows on a crash.
#[derive(Debug, Clone, Copy)]
enum Next {
    LosesDisk,
    Crashes,
}

/// Removes the first instance without a stop; `gap` later the second one is removed or loses its disk.
/// Instances are numbered from the leader on, with the successors last. Returns what is wrong once all
/// others are back.
fn crash_then(pair: (usize, usize), crash: Crash, gap: Duration, next: Next) -> Result<(), String> {
    let successors = match next {
        Next::LosesDisk => 1,
        Next::Crashes => 2,
    };
    let mut cluster = with_successors(successors);
    let mut names = vec![cluster.leading_instance()];
    names.extend(cluster.others_than(&[&names[0]]));
    cluster.crash(&names[pair.0], crash);
    cluster.run(gap);
    match next {
        Next::LosesDisk => cluster.lose_disk(&names[pair.1], ms(1_000)),
        Next::Crashes => cluster.crash(&names[pair.1], crash),
    }
    settle(&mut cluster);
    let fault = cluster.fault();
    fault.map_or(Ok(()), |f| {
        Err(format!("{pair:?} {crash:?} {gap:?} {next:?}: {f}"))
    })
}

/// Returns the time within which a crashed voter has to be replaced, by the timing of the replicas.
fn replacement_time(leads: bool, crash: Crash) -> Duration {
    let timing = RaftTiming::default();
    match crash {
        _ if leads => 2 * timing.election + 2 * timing.heartbeat,
        Crash::Process => timing.heartbeat,
        Crash::Power => timing.lease + 2 * timing.heartbeat,
    }
}

// A replaced instance that ended without a stop kept its vote for 3 s and more, although its successor
// waited: the next lost disk, or the next replacement, ended the quorum.
#[test]
fn a_crashed_voter_keeps_its_vote_while_its_successor_waits() {
    let mut failed = Vec::new();
    for first in 0..TARGET_VOTERS {
        for second in (0..TARGET_VOTERS).filter(|s| *s != first) {
            for crash in [Crash::Process, Crash::Power] {
                let from = replacement_time(first == 0, crash).as_millis() as u64;
                for gap in (from..4_000).step_by(100) {
                    for next in [Next::LosesDisk, Next::Crashes] {
                        failed.extend(crash_then((first, second), crash, ms(gap), next).err());
                    }
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} failed, {}", failed.len(), failed[0]);
}

// A learner that had just lost its disk was promoted in place of the crashed voter, and was missing in
// the quorum for good.
#[test]
fn a_successor_that_loses_its_disk_is_promoted() {
    for first in 0..TARGET_VOTERS {
        for crash in [Crash::Process, Crash::Power] {
            for gap in (0..4_000).step_by(20) {
                let pair = (first, TARGET_VOTERS);
                let played = crash_then(pair, crash, ms(gap), Next::LosesDisk);
                assert_eq!(played, Ok(()));
            }
        }
    }
}

// A voter that was replaced while it was frozen, cut off or without power got no vote again.
#[test]
fn a_voter_that_returns_after_its_replacement_has_no_vote() {
    for leads in [true, false] {
        for kind in 0..3 {
            let mut cluster = with_successors(1);
            let before = cluster.voters();
            let away = match leads {
                true => cluster.leading_instance(),
                false => cluster.follower(),
            };
            match kind {
                0 => cluster.freeze(&away, true),
                1 => cluster.cut_off(&away),
                _ => cluster.lose_power(&away, CONTACT),
            }
            cluster.run(CONTACT);
            let others = cluster.others_than(&[&away]);
            let leader = others.iter().find_map(|o| {
                let core = cluster.instances[o].core.as_ref()?;
                core.raft().holds_leader_lease(cluster.now).then_some(core)
            });
            let leader = leader.expect("one of the others leads");
            assert!(!leader.voting_instances().contains(&away));
            cluster.freeze(&away, false);
            cluster.cut.clear();
            settle(&mut cluster);
            assert_eq!(cluster.fault(), None, "{}", cluster.describe());
            assert_eq!(cluster.voters(), before, "leads {leads}, kind {kind}");
        }
    }
}

// With replicas of the last release among the voters, two voters changed at once, whose majorities
// before and after the change these replicas don't bring together.
#[test]
fn a_voter_is_replaced_at_once_beside_voters_of_the_last_release() {
    for (message_set, at_once) in [(LAST_MESSAGE_SET, 1), (LAST_MESSAGE_SET + 1, 2)] {
        let mut cluster = Cluster::new();
        cluster.message_set = message_set;
        cluster.add();
        for number in 0..TARGET_VOTERS {
            cluster.lose_power(&name(number), ms(100));
            settle(&mut cluster);
        }
        let leader = cluster.leader().expect("a leader").raft();
        let first_index = leader.last_index();
        let crashed = cluster.follower();
        cluster.crash(&crashed, Crash::Power);
        settle(&mut cluster);
        assert_eq!(cluster.fault(), None, "{}", cluster.describe());
        let leader = cluster.leader().expect("a leader").raft();
        let entries = (first_index + 1..=leader.last_index()).filter_map(|i| leader.entry(i));
        let votes = entries.filter_map(|e| match &e.command {
            Command::Members { members } => {
                Some(members.iter().filter(|m| m.voter).count() - TARGET_VOTERS)
            }
            _ => None,
        });
        let spare_votes: Vec<usize> = votes.collect();
        let most = spare_votes.iter().max().copied();
        assert_eq!(most, Some(2 - at_once), "{spare_votes:?}");
    }
}

/// Plays removals with and without a stop, and losses, one after the other, on a deployment with drawn
/// disks and a drawn network.
fn walk(seed: u64, target: usize) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::with_target(target);
    cluster.order = Some(ChaCha8Rng::seed_from_u64(rng.random()));
    cluster.sync_time = ms(*[0, 2, 30, 150].choose(&mut rng).expect("a time"));
    cluster.max_message_delay = ms(*[0, 5, 60].choose(&mut rng).expect("a delay"));
    cluster.has_quota = rng.random_bool(0.3);
    let mut history = Vec::new();
    for _ in 0..8 {
        let names: Vec<InstanceName> = cluster.instances.keys().cloned().collect();
        let of = names.choose(&mut rng).expect("an instance").clone();
        let down = ms(rng.random_range(100..6_000));
        let kind = rng.random_range(0..6);
        // A machine that is removed stops counting once its successor has had its time.
        if kind < 3 && names.len() <= target + rng.random_range(0..2) {
            cluster.add();
            cluster.run(CATCH_UP);
        }
        history.push((cluster.now, kind, of.clone(), down));
        match kind {
            0 => cluster.crash(&of, Crash::Process),
            1 => cluster.crash(&of, Crash::Power),
            2 => cluster.stop(&of, AfterStop::Removed),
            3 => cluster.lose_disk(&of, down),
            4 => cluster.lose_power(&of, down),
            _ => cluster.freeze(&of, true),
        }
        match kind {
            // Until the others had their time to notice the loss.
            0 | 1 => cluster.run(CONTACT),
            2 => {}
            _ => cluster.run(down + CATCH_UP),
        }
        if kind == 5 {
            cluster.freeze(&of, false);
            cluster.run(CATCH_UP);
        }
        while cluster.is_busy() {
            cluster.run(TICK);
        }
        cluster.run(ms(rng.random_range(0..1_000)));
    }
    settle(&mut cluster);
    let fault = cluster.fault();
    fault.map_or(Ok(()), |f| {
        let end = cluster.describe();
        Err(format!(
            "seed {seed}, {target} voters: {f} after {history:?}\n{end}"
        ))
    })
}

// Removals without a stop, planned stops and losses, one after the other, ended the quorum.
#[test]
fn removals_one_after_the_other_end_the_quorum() {
    let number = |name| std::env::var(name).ok().and_then(|s| s.parse::<u64>().ok());
    let first = number("WALK_FIRST").unwrap_or(0);
    let seeds = first..first + number("WALK_SEEDS").unwrap_or(SEEDS);
    let walks = seeds.flat_map(|seed| [walk(seed, TARGET_VOTERS), walk(seed, 5)]);
    let failed: Vec<String> = walks.filter_map(Result::err).collect();
    assert!(failed.is_empty(), "{} failed, {}", failed.len(), failed[0]);
}
