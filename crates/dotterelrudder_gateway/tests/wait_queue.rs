//! The order of the wait queue.

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
    let (service, mut queue) = (engines(), WaitQueue::default());
    let normal = need(3, 10_000);
    let first = queue.join(&service, &normal);
    let second = queue.join(&service, &normal);
    assert!(queue.may_try(ms(0), Some(first), &service, &normal));
    assert!(!queue.may_try(ms(0), Some(second), &service, &normal));
    let more_urgent = need(0, 10_000);
    let urgent = queue.join(&service, &more_urgent);
    assert!(queue.may_try(ms(0), Some(urgent), &service, &more_urgent));
    assert!(!queue.may_try(ms(0), Some(first), &service, &normal));
    queue.leave(urgent);
    queue.leave(first);
    assert!(queue.may_try(ms(0), Some(second), &service, &normal));
}

#[test]
fn a_small_request_passes_a_large_one_unless_it_is_less_urgent() {
    let (service, mut queue) = (engines(), WaitQueue::default());
    queue.join(&service, &need(3, 10_000));
    assert!(queue.may_try(ms(0), None, &service, &need(3, 2_000)));
    assert!(!queue.may_try(ms(0), None, &service, &need(3, 10_000)));
    assert!(!queue.may_try(ms(0), None, &service, &need(4, 2_000)));
    assert!(queue.may_try(ms(0), None, &"desk".into(), &need(9, 10_000)));
}

/// More requests arrive than can be served for a while. Requests that already missed their
/// objective would make all later ones miss theirs too, so they let requests pass that can still
/// meet it.
#[test]
fn requests_that_can_be_in_time_pass_late_ones() {
    let (service, mut queue) = (engines(), WaitQueue::default());
    let old = need(3, 10_000);
    let late = queue.join(&service, &old);
    let fresh = CapacityRequest {
        due: ms(1_500),
        ..old
    };
    let ticket = queue.join(&service, &fresh);
    assert!(!queue.may_try(ms(600), Some(ticket), &service, &fresh));
    assert!(queue.may_try(ms(800), Some(ticket), &service, &fresh));
    assert!(!queue.may_try(ms(800), Some(late), &service, &old));
}
