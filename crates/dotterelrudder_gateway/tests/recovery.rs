//! Runners that failed and may have recovered.

mod support;

use dotterelrudder_gateway::NotPlaced;
use dotterelrudder_gateway::RunOutcome;
use support::*;

/// A runner that failed some requests has recovered. Without decay of its failure rate it would not
/// be chosen again while others look better, and a share of the capacity stayed idle.
#[test]
fn a_runner_that_failed_is_chosen_again_after_some_seconds() {
    for outcome in [RunOutcome::Failed, RunOutcome::Unreachable] {
        let mut gateway = gateway(3);
        let prompt = prompt("s", 4_000, 10);
        let preferred = place(&mut gateway, ms(0), &prompt).unwrap();
        for _ in 0..6 {
            let unread = gateway.sent(ms(0), preferred.runner, Some(&prompt));
            gateway.prefill_finished(preferred.runner, unread);
            gateway.ended(ms(10), preferred.runner, outcome);
        }
        let soon = place(&mut gateway, ms(1_500), &prompt).unwrap();
        assert_ne!(soon.identity, preferred.identity, "{outcome:?}");
        let later = place(&mut gateway, ms(14_000), &prompt).unwrap();
        assert_eq!(later.identity, preferred.identity, "{outcome:?}");
    }
}

/// All runners of a service are full and request a backoff. Callers get the earliest time at once,
/// and a mistaken backoff of a day is limited.
#[test]
fn a_runner_that_requests_backoff_gets_no_requests_for_that_time() {
    let mut gateway = gateway(2);
    let prompt = prompt("s", 1_000, 10);
    let first = place(&mut gateway, ms(0), &prompt).unwrap();
    gateway.back_off(ms(0), first.runner, ms(1_500));
    let second = place(&mut gateway, ms(10), &prompt).unwrap();
    assert_ne!(second.identity, first.identity);
    gateway.back_off(ms(10), second.runner, ms(86_400_000));
    let Err(NotPlaced::Refused(refusal)) = place(&mut gateway, ms(20), &prompt) else {
        panic!("expected a refusal");
    };
    let wait = refusal.retry_after.unwrap();
    assert!(refusal.is_not_run() && wait >= ms(1_480) && wait < ms(1_480).mul_f64(1.25));
    let back = place(&mut gateway, ms(1_510), &prompt).unwrap();
    assert_eq!(back.identity, first.identity);
    gateway.back_off(ms(1_510), first.runner, ms(60_000));
    assert!(place(&mut gateway, ms(10_020), &prompt).is_ok());
}

/// A runner that keeps failing is chosen rarely.
#[test]
fn a_runner_that_keeps_failing_is_rarely_chosen() {
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
