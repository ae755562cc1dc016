//! Runners that failed and may have recovered.

mod support;

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
            gateway.first_part(home.runner, unread);
            gateway.ended(ms(10), home.runner, outcome);
        }
        let soon = place(&mut gateway, ms(1_500), &prompt).unwrap();
        assert_ne!(soon.identity, home.identity, "{outcome:?}");
        let later = place(&mut gateway, ms(14_000), &prompt).unwrap();
        assert_eq!(later.identity, home.identity, "{outcome:?}");
    }
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
        gateway.first_part(placed.runner, unread);
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
