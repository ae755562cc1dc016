//! Tests how a process finds the leading control instance and stays in contact with it.

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

fn fleet_state(asked: u64) -> FleetState {
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
fn a_reply_yields_the_send_time_of_its_query() {
    let mut follower = follower();
    let (to, query) = follower.tick(ms(10), 0, 0).unwrap();
    assert_eq!((to.as_str(), query.asked), ("a", 101));
    assert_eq!(follower.on_state(&fleet_state(101)), Some(ms(10)));
    assert!(follower.in_contact());
    assert!(follower.tick(ms(400), 0, 0).is_none());
    assert!(follower.tick(ms(510), 0, 0).is_some());
    // A state sent because of a change carries the number of an earlier query and counts as old as
    // that query.
    assert_eq!(follower.on_state(&fleet_state(101)), Some(ms(10)));
    assert_eq!(follower.on_state(&fleet_state(7)), None);
}

#[test]
fn a_missing_reply_leads_to_the_next_instance() {
    let mut follower = follower();
    follower.tick(ms(0), 0, 0);
    let (to, _) = follower.tick(ms(400), 0, 0).unwrap();
    assert_eq!(to.as_str(), "b");
    assert!(!follower.in_contact());
}

#[test]
fn a_named_leader_is_queried_at_once() {
    let mut follower = follower();
    follower.tick(ms(0), 0, 0);
    follower.on_not_leader(ms(5), &"a".into(), Some(&"c".into()));
    assert_eq!(follower.tick(ms(5), 0, 0).unwrap().0.as_str(), "c");
    // Without a known leader the next instance is queried after a delay, not at once.
    follower.on_not_leader(ms(9), &"c".into(), None);
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

/// A change of the control instances while the process runs must not end the contact with the
/// queried one.
#[test]
fn changed_seeds_keep_the_queried_instance() {
    let mut follower = follower();
    follower.tick(ms(0), 0, 0);
    follower.set_controls(names(&["x", "y", "a"]));
    assert_eq!(follower.current_control().unwrap().as_str(), "a");
    follower.set_controls(names(&["x", "y"]));
    assert_eq!(follower.current_control().unwrap().as_str(), "x");
}

/// After a restart of the whole deployment the leader may be an instance that the settings do not
/// name. It must be queried nonetheless.
#[test]
fn a_leader_outside_the_seeds_is_queried() {
    let mut follower = follower();
    follower.tick(ms(0), 0, 0);
    follower.on_not_leader(ms(5), &"a".into(), Some(&"z".into()));
    assert_eq!(follower.current_control().unwrap().as_str(), "z");
    assert!(follower.controls().contains(&"z".into()));
}

/// A query that was sent before the connection opened is lost, and must be repeated at once rather
/// than after the reply timeout.
#[test]
fn a_query_is_repeated_once_the_connection_opens() {
    let mut follower = follower();
    follower.tick(ms(0), 0, 0);
    follower.opened(ms(20), &"b".into());
    assert!(follower.tick(ms(20), 0, 0).is_none());
    follower.opened(ms(30), &"a".into());
    assert_eq!(follower.tick(ms(30), 0, 0).unwrap().0.as_str(), "a");
}
