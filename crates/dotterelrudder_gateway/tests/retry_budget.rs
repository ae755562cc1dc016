//! Retry budget.

use std::time::Duration;

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
