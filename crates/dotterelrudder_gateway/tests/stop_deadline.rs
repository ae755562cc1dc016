//! Requests that are read between the signal to stop and the end of the process.

use std::time::Duration;

use dotterelrudder_gateway::StopDeadline;
use dotterelrudder_types::Outcome;

fn s(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// A request whose caller waits longer than the process lives had no deadline before its end, so that
/// it was cut off without a response.
#[test]
fn a_request_that_outlasts_the_stop_gets_a_deadline_before_its_end() {
    let stop = StopDeadline::new(s(7.5));
    let deadline = stop.limit(s(4.2), s(18.2), s(0.5));
    assert_eq!(deadline, Ok(stop.respond_by()));
    assert!(stop.respond_by() < s(7.5));
}

/// A request that can't be completed before the end of the process was sent all the same, and its
/// caller was left without knowing whether it ran.
#[test]
fn a_request_without_enough_time_before_the_end_is_refused_unsent() {
    let stop = StopDeadline::new(s(7.5));
    let refusal = stop.limit(s(6.0), s(20.0), s(0.5)).expect_err("refused");
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert_eq!(refusal.kind.row().status, 503);
    assert!(refusal.retry_after.is_some_and(|after| after < s(1.0)));
}

/// A request whose caller leaves before the end of the process is served as without a stop.
#[test]
fn a_request_that_ends_before_the_stop_keeps_its_deadline() {
    let stop = StopDeadline::new(s(7.5));
    assert_eq!(stop.limit(s(6.5), s(7.0), s(0.5)), Ok(s(7.0)));
}
