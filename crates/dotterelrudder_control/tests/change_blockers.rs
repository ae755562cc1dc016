//! What a replica says that its planned stop, or a change of members that is due, waits for.

mod support;

use std::time::Duration;

use dotterelrudder_control::ChangeBlocker;
use dotterelrudder_control::Input;
use dotterelrudder_types::InstanceName;

use support::cluster::name;
use support::cluster::Cluster;
use support::cluster::Crash;
use support::cluster::CATCH_UP;
use support::cluster::CONTACT;
use support::cluster::TARGET_VOTERS;
use support::cluster::TICK;

const MOMENT: Duration = Duration::from_millis(500);

fn with_spares(spares: usize) -> Cluster {
    let mut cluster = Cluster::new();
    for _ in 0..spares {
        cluster.add();
    }
    cluster.run(CATCH_UP);
    cluster
}

fn change_blocker(cluster: &Cluster, of: &InstanceName) -> Option<ChangeBlocker> {
    let core = cluster.instances[of].core.as_ref().expect("it runs");
    core.raft().change_blocker(cluster.now)
}

fn stop_blocker(cluster: &Cluster, of: &InstanceName) -> Option<ChangeBlocker> {
    let core = cluster.instances[of].core.as_ref().expect("it runs");
    core.raft().stop_blocker(cluster.now)
}

// A voter that was not replaced, or a stop that took seconds, left no reason in the log.
#[test]
fn a_held_back_change_names_no_reason() {
    let mut cluster = with_spares(0);
    let leader = cluster.leading_instance();
    assert_eq!(change_blocker(&cluster, &leader), None, "nothing is due");
    let crashed = cluster.follower();
    cluster.crash(&crashed, Crash::Power);
    cluster.run(CONTACT);
    let blocker = change_blocker(&cluster, &leader);
    assert_eq!(blocker, Some(ChangeBlocker::Learner));

    let mut cluster = with_spares(1);
    let spare = name(TARGET_VOTERS);
    let leader = cluster.leading_instance();
    let crashed = cluster.follower();
    cluster.freeze(&spare, true);
    cluster.run(CONTACT);
    assert_eq!(change_blocker(&cluster, &leader), None, "nothing is due");
    cluster.crash(&crashed, Crash::Power);
    cluster.run(CONTACT);
    let blocker = change_blocker(&cluster, &leader);
    assert_eq!(blocker, Some(ChangeBlocker::LearnerContact));
    cluster.freeze(&spare, false);
    cluster.run(CONTACT);
    assert_eq!(change_blocker(&cluster, &leader), None, "it was replaced");

    let mut cluster = with_spares(1);
    let leader = cluster.leading_instance();
    let others = cluster.others_than(&[&leader]);
    others.iter().for_each(|o| cluster.freeze(o, true));
    cluster.run(MOMENT + 2 * TICK);
    let blocker = change_blocker(&cluster, &leader);
    assert_eq!(blocker, Some(ChangeBlocker::Quorum));
}

#[test]
fn a_held_back_stop_names_no_reason() {
    let mut cluster = with_spares(1);
    let leader = cluster.leading_instance();
    let stopped = cluster.follower();
    assert_eq!(stop_blocker(&cluster, &stopped), None, "it does not stop");
    cluster.handle(&stopped, Input::Stop);
    let blocker = stop_blocker(&cluster, &stopped);
    assert_eq!(blocker, Some(ChangeBlocker::LeaderDecision));
    cluster.run(MOMENT);
    assert_eq!(stop_blocker(&cluster, &stopped), None, "it may stop");

    cluster.handle(&leader, Input::Stop);
    let blocker = stop_blocker(&cluster, &leader);
    assert_eq!(blocker, Some(ChangeBlocker::LeadershipTransfer));

    let mut cluster = with_spares(1);
    let stopped = cluster.follower();
    let others = cluster.others_than(&[&stopped]);
    others.iter().for_each(|o| cluster.crash(o, Crash::Power));
    cluster.run(CONTACT);
    cluster.handle(&stopped, Input::Stop);
    let blocker = stop_blocker(&cluster, &stopped);
    assert_eq!(blocker, Some(ChangeBlocker::Leader));
}
