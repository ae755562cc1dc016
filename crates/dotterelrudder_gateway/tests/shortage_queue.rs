//! Who gets capacity, who waits and who is refused while capacity is short.

mod support;

use std::time::Duration;

use dotterelrudder_gateway::AdmissionVerdict;
use dotterelrudder_gateway::CapacityDemand;
use dotterelrudder_gateway::RefusalCause;
use dotterelrudder_gateway::RoomRule;
use dotterelrudder_gateway::ShortageQueue;
use support::*;

/// The work of a short and of a long prompt, and the capacity of an entry.
const SHORT: f64 = 500.0;
const LONG: f64 = 30_000.0;
const CAPACITY: f64 = 30_000.0;

fn demand(account: &str, urgency: u8, work: f64, now: Duration) -> CapacityDemand {
    let (objective, latest) = if urgency == 0 {
        (500, 2_800)
    } else {
        (2_000, 12_000)
    };
    CapacityDemand {
        service: engines(),
        account: account.into(),
        urgency,
        work,
        arrived: now,
        since: now,
        objective: ms(objective),
        latest_start: now + ms(latest),
    }
}

fn waits(verdict: AdmissionVerdict) -> bool {
    matches!(verdict, AdmissionVerdict::Wait { .. })
}

/// Joins the queue as long as the verdict is to wait; returns how many requests wait.
fn fill(queue: &mut ShortageQueue, now: Duration, urgency: u8, work: f64, most: usize) -> usize {
    let own = demand("a", urgency, work, now);
    for _ in 0..most {
        if !waits(queue.judge(now, None, &own, CAPACITY)) {
            break;
        }
        queue.join(now, &own, CAPACITY);
    }
    queue.len()
}

/// A request that gets no capacity before it is useless was held for 2.5 objectives and refused then.
/// It is refused at the first look, and those before it wait until near their deadline.
#[test]
fn what_gets_no_capacity_in_time_is_refused_at_the_first_look() {
    let mut queue = ShortageQueue::default();
    let waiting = fill(&mut queue, ms(0), 2, LONG, 100);
    // One a second; the wait may be misjudged by a factor of two, in 12 s.
    assert!((12..=26).contains(&waiting), "{waiting} wait");
    let own = demand("a", 2, LONG, ms(0));
    let verdict = queue.judge(ms(0), None, &own, CAPACITY);
    let AdmissionVerdict::Refuse {
        cause, expected, ..
    } = verdict
    else {
        panic!("{verdict:?}");
    };
    assert_eq!(cause, RefusalCause::NoCapacityInTime);
    assert!(
        expected > ms(24_000) && expected < ms(32_000),
        "{expected:?}"
    );
}

/// With a learned rate that is wrong by far, requests would be refused while there is capacity.
#[test]
fn the_first_in_the_order_is_not_refused_whatever_the_rate() {
    let mut queue = ShortageQueue::default();
    for capacity in [0.0, f64::NAN, 1e-9, CAPACITY / 5.0] {
        let own = demand("a", 2, 50.0 * LONG, ms(0));
        assert!(
            waits(queue.judge(ms(0), None, &own, capacity)),
            "{capacity}"
        );
    }
}

/// A pause in placements raises the expected wait, but not the time in which the process was frozen.
#[test]
fn a_frozen_entry_does_not_refuse_all_that_wait() {
    let expected_after = |step: u64| {
        let mut queue = ShortageQueue::default();
        fill(&mut queue, ms(0), 2, LONG, 3);
        let own = demand("a", 2, LONG, ms(0));
        let mut now = 0;
        while now < 4_500 {
            now += step;
            queue.judge(ms(now), None, &own, CAPACITY);
        }
        match queue.judge(ms(now), None, &own, CAPACITY) {
            AdmissionVerdict::Wait { expected, .. } => expected,
            AdmissionVerdict::Refuse { expected, .. } => expected,
        }
    };
    let (paused, frozen) = (expected_after(15), expected_after(4_500));
    assert!(paused > frozen * 2, "{paused:?} and {frozen:?}");
    assert!(frozen < ms(8_000), "{frozen:?}");
}

/// Runners that are lost take their capacity along at once, not when placements have fallen.
#[test]
fn the_capacity_of_lost_runners_is_removed() {
    let mut queue = ShortageQueue::default();
    fill(&mut queue, ms(0), 2, LONG, 4);
    let own = demand("a", 2, LONG, ms(0));
    let mut expected = |now, capacity| match queue.judge(ms(now), None, &own, capacity) {
        AdmissionVerdict::Wait { expected, .. } => expected,
        AdmissionVerdict::Refuse { expected, .. } => expected,
    };
    let before = expected(0, CAPACITY);
    let after = expected(0, CAPACITY / 4.0);
    assert!(after > before * 3, "{before:?} and {after:?}");
}

/// A burst of one account delayed the others' requests by its whole length.
#[test]
fn accounts_get_equal_shares_whatever_they_ask_for() {
    let mut queue = ShortageQueue::default();
    let mut waiting = Vec::new();
    for (account, count) in [("burst", 40), ("b", 10), ("c", 10)] {
        for _ in 0..count {
            let own = demand(account, 0, 10.0 * SHORT, ms(0));
            waiting.push((queue.join(ms(0), &own, CAPACITY), own));
        }
    }
    let mut served = Vec::new();
    for _ in 0..30 {
        let next = waiting
            .iter()
            .position(|(t, own)| queue.may_try(ms(100), Some(*t), own).is_some());
        let (ticket, own) = waiting.remove(next.expect("one is first"));
        queue.placed(ms(100), Some(ticket), &own);
        queue.leave(ms(100), ticket);
        served.push(own.account);
    }
    let count = |name: &str| served.iter().filter(|a| *a == name).count();
    let counts = [count("burst"), count("b"), count("c")];
    assert!(counts.iter().all(|n| (7..=16).contains(n)), "{counts:?}");
}

/// Strict priority alone never served a long prompt behind endless short ones.
#[test]
fn a_long_prompt_behind_endless_short_ones_gets_its_turn() {
    let mut queue = ShortageQueue::default();
    let long = demand("a", 2, LONG, ms(0));
    let ticket = queue.join(ms(0), &long, CAPACITY);
    let mut turn = None;
    for step in 0..1_200 {
        let now = ms(step * 10);
        let short = demand("a", 0, SHORT, now);
        let mut own = queue.join(now, &short, CAPACITY);
        if queue.may_try(now, Some(ticket), &long) == Some(RoomRule::Due) {
            turn = Some(now);
            assert_eq!(queue.may_try(now, Some(own), &short), None);
            break;
        }
        queue.placed(now, Some(own), &short);
        queue.leave(now, own);
        own = queue.join(now, &short, CAPACITY);
        queue.placed(now, Some(own), &short);
        queue.leave(now, own);
    }
    let turn = turn.expect("it gets a turn");
    assert!(turn >= ms(6_000) && turn < ms(12_000), "{turn:?}");
}

/// Long prompts were sent to runners at which urgent ones then waited behind them.
#[test]
fn less_urgent_requests_yield_while_urgent_ones_find_no_capacity() {
    let mut queue = ShortageQueue::default();
    let (long, short) = (demand("a", 2, LONG, ms(0)), demand("a", 0, SHORT, ms(0)));
    assert_eq!(queue.may_try(ms(0), None, &long), Some(RoomRule::Usual));
    queue.judge(ms(0), None, &short, CAPACITY);
    assert_eq!(
        queue.may_try(ms(500), None, &long),
        Some(RoomRule::Yielding)
    );
    let short = demand("a", 0, SHORT, ms(500));
    assert_eq!(queue.may_try(ms(500), None, &short), Some(RoomRule::Usual));
    let later = demand("a", 2, LONG, ms(1_500));
    assert_eq!(
        queue.may_try(ms(1_500), None, &later),
        Some(RoomRule::Usual)
    );
}

/// A caller that came back at the time that it was told was refused again, while newcomers were served.
#[test]
fn a_caller_that_returns_is_not_refused_in_favour_of_newcomers() {
    let mut queue = ShortageQueue::default();
    let waiting = fill(&mut queue, ms(0), 2, LONG, 100) as u64;
    let refused = demand("a", 2, LONG, ms(0));
    queue.refused(ms(0), "r1", &refused, ms(4_000));
    // Some of those before it were served meanwhile, and many newcomers wait.
    for ticket in 1..=waiting / 2 {
        let at = ms(ticket * 300);
        queue.judge(at, Some(ticket), &refused, CAPACITY);
        queue.placed(at, Some(ticket), &refused);
        queue.leave(at, ticket);
    }
    let now = ms(4_000);
    let newcomer = demand("a", 2, LONG, now);
    for _ in 0..100 {
        queue.join(now, &newcomer, CAPACITY);
    }
    assert!(!waits(queue.judge(now, None, &newcomer, CAPACITY)));
    let arrived = queue.take_returning(now, "a", "r1").expect("it is known");
    let returned = CapacityDemand {
        arrived,
        ..newcomer.clone()
    };
    assert!(waits(queue.judge(now, None, &returned, CAPACITY)));
    assert_eq!(queue.take_returning(now, "a", "r1"), None);
}
