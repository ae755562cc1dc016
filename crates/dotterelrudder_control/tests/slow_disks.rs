//! Elections, restarts and replacements while syncs of disks take as long as an election timeout, or
//! longer on one disk than on the others.

mod support;

use std::time::Duration;

use dotterelrudder_control::Input;
use dotterelrudder_wire::Command;
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
/// How long a machine without power is down.
const DOWN: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Starts three instances and a spare one, whose disks then need `sync_time` for each sync.
fn with_slow_disks(sync_time: Duration, seed: u64) -> Cluster {
    let mut cluster = Cluster::new();
    cluster.add();
    cluster.run(CATCH_UP);
    cluster.order = Some(ChaCha8Rng::seed_from_u64(seed));
    cluster.sync_time = sync_time;
    cluster.run(CATCH_UP);
    cluster
}

// No candidate waited until the other replicas had synced their votes: there was no leader for good.
#[test]
fn no_leader_is_elected_while_syncs_take_longer_than_an_election() {
    for sync_time in [300, 500, 600, 700, 900].map(ms) {
        for seed in 0..8 {
            let mut cluster = with_slow_disks(sync_time, seed);
            (0..TARGET_VOTERS).for_each(|n| cluster.lose_power(&name(n), DOWN));
            cluster.run(DOWN + RECOVER);
            let leads = cluster.leader().is_some();
            assert!(leads, "{sync_time:?}, seed {seed}: {}", cluster.describe());
        }
    }
}

// A replica that restarted abandoned its identity, as if its disk was lost, before the voters had synced
// their replies to its start check.
#[test]
fn a_restart_on_a_slow_disk_counts_as_a_lost_disk() {
    for sync_time in [500, 700, 1_000, 1_500].map(ms) {
        for seed in 0..8 {
            let mut cluster = with_slow_disks(sync_time, seed);
            let restarted = cluster.follower();
            let id_of = |cluster: &Cluster| {
                let core = cluster.instances[&restarted].core.as_ref();
                core.expect("it runs").raft().id()
            };
            let before = id_of(&cluster);
            cluster.lose_power(&restarted, DOWN);
            cluster.run(DOWN + RECOVER);
            assert_eq!(id_of(&cluster), before, "{sync_time:?}, seed {seed}");
        }
    }
}

/// Runs the deployment while the leader logs a command in each interval of a tick.
fn run_under_load(cluster: &mut Cluster, time: Duration, tag: &mut u64) {
    let until = cluster.now + time;
    while cluster.now < until {
        if cluster.leader().is_some() {
            let leader = cluster.leading_instance();
            *tag += 1;
            let (tag, command) = (*tag, Command::Noop);
            cluster.handle(&leader, Input::Propose { tag, command });
        }
        cluster.run(TICK);
    }
}

// A learner whose disk is slower than those of the voters never had all committed entries while others
// were logged, so that neither a lost voter nor one that stopped as planned left it the vote.
#[test]
fn a_learner_with_a_slower_disk_never_gets_the_vote() {
    for extra in [50, 100, 200, 300].map(ms) {
        for is_planned in [true, false] {
            for leads in [true, false] {
                let mut cluster = with_slow_disks(ms(5), 1);
                let spare = cluster.instances.get_mut(&name(TARGET_VOTERS));
                spare.expect("the spare runs").extra_sync_time = extra;
                let mut tag = 0;
                run_under_load(&mut cluster, CATCH_UP, &mut tag);
                let removed = match leads {
                    true => cluster.leading_instance(),
                    false => cluster.follower(),
                };
                match is_planned {
                    true => cluster.stop(&removed, AfterStop::Removed),
                    false => cluster.crash(&removed, Crash::Power),
                }
                run_under_load(&mut cluster, CONTACT, &mut tag);
                let is_ended = cluster
                    .instances
                    .get(&removed)
                    .is_none_or(|i| i.core.is_none());
                let case = format!("{extra:?}, planned {is_planned}, leads {leads}");
                assert!(is_ended, "it still runs: {case}");
                assert!(!cluster.voters().contains(&removed), "it votes: {case}");
            }
        }
    }
}
