//! How many requests may be sent a second time.
//!
//! Load pattern: many runners fail at once, and every entry would repeat every request. All
//! entries together may add a share of the requests of a span, and some besides; each entry takes
//! its part of that by the number of entries.

use std::collections::VecDeque;
use std::time::Duration;

/// Requests and repeats of one service within the last span.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

/// The part of the common allowance that entries use, so that differences between them and in the
/// edges of a span don't exceed it.
const ALLOWANCE_SHARE_USED: f64 = 0.7;

fn drop_before(times: &mut VecDeque<Duration>, before: Duration) {
    while times.front().is_some_and(|at| *at < before) {
        times.pop_front();
    }
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Duration, window: Duration) {
        drop_before(&mut self.requests, now.saturating_sub(window));
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the budget, if there is one left.
    pub fn take(
        &mut self,
        now: Duration,
        window: Duration,
        ratio: f64,
        slack: f64,
        entries: u32,
    ) -> bool {
        let before = now.saturating_sub(window);
        drop_before(&mut self.requests, before);
        drop_before(&mut self.repeats, before);
        let own_slack = slack / f64::from(entries.max(1));
        let allowed = ALLOWANCE_SHARE_USED * (ratio * self.requests.len() as f64 + own_slack);
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}
