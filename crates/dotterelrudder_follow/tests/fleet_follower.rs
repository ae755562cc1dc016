//! How a process finds the leading control instance and keeps in contact.

use std::time::Duration;

use dotterelrudder_follow::FleetFollower;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::FleetState;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn names(names: &[&str]) -> Vec<InstanceName> {
    names.iter().map(|n| InstanceName::from(*n)).collect()
}

fn view(asked: u64) -> FleetState {
    FleetState {
        asked,
        version: 1,
        configuration: None,
        weights: Vec::new(),
        controls: Vec::new(),
        directory: 0,
        engine_clock_ms: 0,
        entries: 1,
    }
}

fn follower() -> FleetFollower {
    FleetFollower::new(names(&["a", "b", "c"]), None, 100, ms(0))
}

#[test]
fn a_question_s_time_is_told_with_its_answer() {
    let mut follower = follower();
    let (to, question) = follower.tick(ms(10), 0, 0).unwrap();
    assert_eq!((to.as_str(), question.asked), ("a", 101));
    assert_eq!(follower.answered(&view(101)), Some(ms(10)));
    assert!(follower.in_contact());
    assert!(follower.tick(ms(400), 0, 0).is_none());
    assert!(follower.tick(ms(510), 0, 0).is_some());
    // News that repeat the number of an earlier question are as old as that.
    assert_eq!(follower.answered(&view(101)), Some(ms(10)));
    assert_eq!(follower.answered(&view(7)), None);
}

#[test]
fn silence_leads_to_the_next_instance() {
    let mut follower = follower();
    follower.tick(ms(0), 0, 0);
    let (to, _) = follower.tick(ms(400), 0, 0).unwrap();
    assert_eq!(to.as_str(), "b");
    assert!(!follower.in_contact());
}

#[test]
fn a_named_leader_is_asked_at_once() {
    let mut follower = follower();
    follower.tick(ms(0), 0, 0);
    follower.elsewhere(ms(5), &"a".into(), Some(&"c".into()));
    assert_eq!(follower.tick(ms(5), 0, 0).unwrap().0.as_str(), "c");
    // Nobody leads: the next one is asked after a pause, not at once.
    follower.elsewhere(ms(9), &"c".into(), None);
    assert!(follower.tick(ms(20), 0, 0).is_none());
    assert_eq!(follower.tick(ms(109), 0, 0).unwrap().0.as_str(), "a");
}

#[test]
fn a_closed_connection_leads_to_the_next_instance() {
    let mut follower = follower();
    follower.tick(ms(0), 0, 0);
    follower.closed(ms(50), &"b".into());
    assert!(follower.tick(ms(50), 0, 0).is_none());
    follower.closed(ms(60), &"a".into());
    assert_eq!(follower.tick(ms(60), 0, 0).unwrap().0.as_str(), "b");
}

/// Instances that are exchanged while the process runs don't break off the contact.
#[test]
fn other_seeds_keep_the_instance_that_is_asked() {
    let mut follower = follower();
    follower.tick(ms(0), 0, 0);
    follower.set_controls(names(&["x", "y", "a"]));
    assert_eq!(follower.asks().unwrap().as_str(), "a");
    follower.set_controls(names(&["x", "y"]));
    assert_eq!(follower.asks().unwrap().as_str(), "x");
}

/// After a restart of everything the leader may be an instance that the settings don't name.
#[test]
fn a_leader_that_no_seed_names_is_asked() {
    let mut follower = follower();
    follower.tick(ms(0), 0, 0);
    follower.elsewhere(ms(5), &"a".into(), Some(&"z".into()));
    assert_eq!(follower.asks().unwrap().as_str(), "z");
    assert!(follower.controls().contains(&"z".into()));
}

/// A question that was asked before the connection was open is lost, and asked again at once.
#[test]
fn an_opened_connection_is_asked_at_once() {
    let mut follower = follower();
    follower.tick(ms(0), 0, 0);
    follower.opened(ms(20), &"b".into());
    assert!(follower.tick(ms(20), 0, 0).is_none());
    follower.opened(ms(30), &"a".into());
    assert_eq!(follower.tick(ms(30), 0, 0).unwrap().0.as_str(), "a");
}
