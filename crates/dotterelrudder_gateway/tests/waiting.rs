//! In which order requests wait.

mod support;

use dotterelrudder_gateway::CapacityRequest;
use dotterelrudder_gateway::WaitQueue;
use support::*;

fn need(urgency: u8, tokens: u64) -> CapacityRequest {
    CapacityRequest {
        urgency,
        tokens,
        due: ms(700),
    }
}

#[test]
fn the_most_urgent_and_then_the_first_come_tries_first() {
    let (service, mut room) = (engines(), WaitQueue::default());
    let calm = need(3, 10_000);
    let first = room.join(&service, &calm);
    let second = room.join(&service, &calm);
    assert!(room.may_try(ms(0), Some(first), &service, &calm));
    assert!(!room.may_try(ms(0), Some(second), &service, &calm));
    let pressing = need(0, 10_000);
    let urgent = room.join(&service, &pressing);
    assert!(room.may_try(ms(0), Some(urgent), &service, &pressing));
    assert!(!room.may_try(ms(0), Some(first), &service, &calm));
    room.leave(urgent);
    room.leave(first);
    assert!(room.may_try(ms(0), Some(second), &service, &calm));
}

#[test]
fn a_small_request_passes_a_large_one_unless_it_is_less_urgent() {
    let (service, mut room) = (engines(), WaitQueue::default());
    room.join(&service, &need(3, 10_000));
    assert!(room.may_try(ms(0), None, &service, &need(3, 2_000)));
    assert!(!room.may_try(ms(0), None, &service, &need(3, 10_000)));
    assert!(!room.may_try(ms(0), None, &service, &need(4, 2_000)));
    assert!(room.may_try(ms(0), None, &"desk".into(), &need(9, 10_000)));
}

/// Load pattern: more comes than can be served for a while. Those that are late already would make
/// all that come after them late as well, so that they let those pass that can be in time.
#[test]
fn requests_that_can_be_in_time_pass_late_ones() {
    let (service, mut room) = (engines(), WaitQueue::default());
    let old = need(3, 10_000);
    let late = room.join(&service, &old);
    let fresh = CapacityRequest {
        due: ms(1_500),
        ..old
    };
    let ticket = room.join(&service, &fresh);
    assert!(!room.may_try(ms(600), Some(ticket), &service, &fresh));
    assert!(room.may_try(ms(800), Some(ticket), &service, &fresh));
    assert!(!room.may_try(ms(800), Some(late), &service, &old));
}
