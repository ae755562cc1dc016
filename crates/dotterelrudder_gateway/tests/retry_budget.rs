//! Retry budget.

mod support;

use std::time::Duration;

use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::RetryBudget;

fn s(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Every request fails at six entries at once. In any window, all entries together retry no more
/// than the ratio of the requests plus the slack.
#[test]
fn entries_together_stay_within_the_allowance_in_any_span() {
    let (window, ratio, slack, entries) = (s(10.0), 0.2, 58.0, 6);
    let mut budgets: Vec<RetryBudget> = (0..entries).map(|_| RetryBudget::default()).collect();
    let (mut firsts, mut repeats) = (Vec::new(), Vec::new());
    for i in 0..4_000u32 {
        let now = s(f64::from(i) * 0.01);
        let budget = &mut budgets[(i % 6) as usize];
        budget.count_request(now, window);
        firsts.push(now);
        if budget.take(now, window, ratio, slack, entries) {
            repeats.push(now);
        }
    }
    assert!(repeats.len() > 400);
    for (i, from) in repeats.iter().enumerate() {
        let within = |t: &&Duration| **t >= *from && **t < *from + window;
        let again = repeats[i..].iter().filter(within).count() as f64;
        let first = firsts.iter().filter(within).count() as f64;
        assert!(
            again <= ratio * first + slack,
            "{again} retries of {first} requests from {from:?}"
        );
    }
}

#[test]
fn without_requests_only_the_slack_is_left() {
    let mut budget = RetryBudget::default();
    let taken = (0..100)
        .filter(|_| budget.take(s(1.0), s(10.0), 0.2, 58.0, 6))
        .count();
    assert_eq!(taken, 6);
}

/// A leader that was just elected has heard of few entries; each of them must not take the slack of
/// all.
#[test]
fn a_smaller_number_of_entries_counts_only_after_a_while() {
    let told = |gateway: &mut Gateway, at: f64, entries| {
        let mut state = support::fleet_state(1);
        state.entries = entries;
        gateway.on_fleet_state(s(at), state, Some(s(at)));
    };
    let retries = |gateway: &mut Gateway, at: f64| {
        let allowed = (0..100).filter(|_| gateway.may_repeat(s(at), &support::engines()));
        allowed.count()
    };
    // Seven tenths of the slack of 60, divided among the entries.
    let mut gateway = support::gateway(1);
    told(&mut gateway, 100.0, 6);
    told(&mut gateway, 105.0, 1);
    assert_eq!(retries(&mut gateway, 105.0), 7);
    told(&mut gateway, 116.0, 2);
    assert_eq!(retries(&mut gateway, 130.0), 21);
    told(&mut gateway, 131.0, 6);
    assert_eq!(retries(&mut gateway, 150.0), 7);
}
