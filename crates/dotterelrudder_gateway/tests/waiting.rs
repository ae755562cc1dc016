//! In which order requests wait.

mod support;

use dotterelrudder_gateway::WaitingRoom;
use support::*;

#[test]
fn the_most_urgent_and_then_the_first_come_tries_first() {
    let (service, mut room) = (engines(), WaitingRoom::default());
    let first = room.join(&service, 3, 10_000);
    let second = room.join(&service, 3, 10_000);
    assert!(room.may_try(Some(first), &service, 3, 10_000));
    assert!(!room.may_try(Some(second), &service, 3, 10_000));
    let urgent = room.join(&service, 0, 10_000);
    assert!(room.may_try(Some(urgent), &service, 0, 10_000));
    assert!(!room.may_try(Some(first), &service, 3, 10_000));
    room.leave(urgent);
    room.leave(first);
    assert!(room.may_try(Some(second), &service, 3, 10_000));
}

#[test]
fn a_small_request_passes_a_large_one_unless_it_is_less_urgent() {
    let (service, mut room) = (engines(), WaitingRoom::default());
    room.join(&service, 3, 10_000);
    assert!(room.may_try(None, &service, 3, 2_000));
    assert!(!room.may_try(None, &service, 3, 10_000));
    assert!(!room.may_try(None, &service, 4, 2_000));
    assert!(room.may_try(None, &"desk".into(), 9, 10_000));
}
