//! Retry budget: how many requests may be sent a second time.
//!
//! Load pattern: many runners fail at once, and every entry would retry every request. All entries
//! together may retry a share of the requests in a sliding window, plus a fixed slack. Each entry
//! uses an equal part of the slack, by the number of entries.

use std::collections::VecDeque;
use std::time::Duration;

/// The requests and retries of one service within the last window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

/// The share of the allowance that an entry uses. The rest covers differences between entries and
/// requests at the edges of the window.
const ALLOWANCE_SHARE_USED: f64 = 0.7;

/// Removes the times that are outside the window.
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

    /// Takes one retry from the budget. Returns whether there was one left.
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
