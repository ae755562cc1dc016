//! Runners that failed and may have recovered.

mod support;

use dotterelrudder_gateway::NotPlaced;
use dotterelrudder_gateway::RunOutcome;
use support::*;

/// Load pattern: a runner failed some requests and is well again. It isn't chosen while others look
/// better, so that it can't show that it has recovered; a share of the capacity lay idle.
#[test]
fn a_runner_that_failed_is_asked_again_after_some_seconds() {
    for outcome in [RunOutcome::Failed, RunOutcome::Unreachable] {
        let mut gateway = gateway(3);
        let prompt = prompt("s", 4_000, 10);
        let home = place(&mut gateway, ms(0), &prompt).unwrap();
        for _ in 0..6 {
            let unread = gateway.sent(ms(0), home.runner, Some(&prompt));
            gateway.prefill_finished(home.runner, unread);
            gateway.ended(ms(10), home.runner, outcome);
        }
        let soon = place(&mut gateway, ms(1_500), &prompt).unwrap();
        assert_ne!(soon.identity, home.identity, "{outcome:?}");
        let later = place(&mut gateway, ms(14_000), &prompt).unwrap();
        assert_eq!(later.identity, home.identity, "{outcome:?}");
    }
}

/// Load pattern: the runners of a service are all as full as they want to be and say for how long.
/// Callers are told the earliest moment at once, and a mistaken rest doesn't last for a day.
#[test]
fn a_runner_that_asks_for_rest_is_sent_nothing_for_as_long() {
    let mut gateway = gateway(2);
    let prompt = prompt("s", 1_000, 10);
    let first = place(&mut gateway, ms(0), &prompt).unwrap();
    gateway.back_off(ms(0), first.runner, ms(1_500));
    let second = place(&mut gateway, ms(10), &prompt).unwrap();
    assert_ne!(second.identity, first.identity);
    gateway.back_off(ms(10), second.runner, ms(86_400_000));
    let Err(NotPlaced::Refused(refusal)) = place(&mut gateway, ms(20), &prompt) else {
        panic!("not refused");
    };
    let wait = refusal.retry_after.unwrap();
    assert!(refusal.is_not_run() && wait >= ms(1_480) && wait < ms(1_480).mul_f64(1.25));
    let back = place(&mut gateway, ms(1_510), &prompt).unwrap();
    assert_eq!(back.identity, first.identity);
    gateway.back_off(ms(1_510), first.runner, ms(60_000));
    assert!(place(&mut gateway, ms(10_020), &prompt).is_ok());
}

/// One that goes on failing stays the last choice.
#[test]
fn a_runner_that_goes_on_failing_is_left_out() {
    let mut gateway = gateway(3);
    let mut chosen = 0;
    for at in (0..10_000).step_by(50) {
        let prompt = prompt(&format!("s{at}"), 1_000, 10);
        let placed = place(&mut gateway, ms(at), &prompt).unwrap();
        let unread = gateway.sent(ms(at), placed.runner, Some(&prompt));
        gateway.prefill_finished(placed.runner, unread);
        let outcome = if placed.identity == "i-1" {
            chosen += 1;
            RunOutcome::Failed
        } else {
            RunOutcome::Answered
        };
        gateway.ended(ms(at + 40), placed.runner, outcome);
    }
    assert!(chosen < 20, "{chosen} of 200");
}
