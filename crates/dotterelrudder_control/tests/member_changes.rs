//! Planned stops, replacements and losses that follow each other shortly: once all instances are
//! back, there is a leader that holds everything that was committed.

mod support;

use std::time::Duration;

use support::cluster::name;
use support::cluster::AfterStop;
use support::cluster::Cluster;
use support::cluster::CATCH_UP;
use support::cluster::TARGET_VOTERS;
use support::cluster::TICK;

/// The time after the last return in which the deployment recovers, and returns to its usual voters.
const RECOVER: Duration = Duration::from_secs(12);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Runs until the stops and starts are over and the deployment had its time to recover.
fn settle(cluster: &mut Cluster) {
    while cluster.is_busy() {
        cluster.run(TICK);
    }
    cluster.run(RECOVER);
}

fn assert_sound(cluster: &Cluster) {
    assert_eq!(cluster.fault(), None, "{}", cluster.describe());
}

/// Starts three instances and some spare ones, which have caught up.
fn with_spares(spares: usize) -> Cluster {
    let mut cluster = Cluster::new();
    for _ in 0..spares {
        cluster.add();
    }
    cluster.run(CATCH_UP + ms(2_000));
    cluster
}

// A replaced instance ended with its vote, and the loss of a disk after it ended control for good.
#[test]
fn a_lost_disk_after_a_planned_replacement_ends_the_quorum() {
    for leads in [true, false] {
        let mut cluster = with_spares(1);
        let leader = cluster.leading_instance();
        let (leaving, lost) = match leads {
            true => (leader, cluster.follower()),
            false => (cluster.follower(), leader),
        };
        cluster.stop(&leaving, AfterStop::Removed);
        while cluster.instances.contains_key(&leaving) {
            cluster.run(TICK);
        }
        cluster.run(ms(500));
        cluster.lose_disk(&lost, ms(1_000));
        settle(&mut cluster);
        assert_sound(&cluster);
    }
}

// Two instances that were replaced shortly after each other ended with their votes.
#[test]
fn two_planned_replacements_shortly_after_each_other_end_the_quorum() {
    for pause in [0, 20, 300, 500, 1_000, 3_000] {
        let mut cluster = with_spares(2);
        cluster.stop(&name(2), AfterStop::Removed);
        cluster.run(ms(pause));
        cluster.stop(&name(1), AfterStop::Removed);
        settle(&mut cluster);
        assert_sound(&cluster);
    }
}

// An instance that restarted as planned left its vote to the spare one, one instance after the other.
#[test]
fn votes_wander_at_rolling_restarts() {
    let mut cluster = with_spares(1);
    let before = cluster.voters();
    for _ in 0..2 {
        for number in 0..=TARGET_VOTERS {
            let restarted = name(number);
            cluster.stop(&restarted, AfterStop::Starts(ms(800)));
            settle(&mut cluster);
            assert_sound(&cluster);
        }
    }
    assert_eq!(cluster.voters(), before);
}

// Without a quorum a planned stop waited without end, and with no learner it waited for one.
#[test]
fn planned_stops_end_where_nobody_can_take_the_vote() {
    for spares in [0, 1] {
        let mut cluster = with_spares(spares);
        let others = cluster.others_than(&[&name(2)]);
        others.iter().for_each(|o| cluster.kill(o));
        cluster.stop(&name(2), AfterStop::Starts(ms(10_000)));
        cluster.run(ms(5_400));
        assert!(cluster.instances[&name(2)].core.is_none());
        others.iter().for_each(|o| cluster.start(o));
        settle(&mut cluster);
        assert_sound(&cluster);
    }
}
