//! How often the servers at one address started recently.

use std::time::Duration;

/// The time in which one start is forgotten; several warm-up times.
const FORGET_TIME: Duration = Duration::from_secs(20);
/// The smallest share of its rate that a runner gets however often it started, so that it can still show
/// that it works.
const MIN_SHARE: f64 = 0.125;

/// The recent starts at one address, which decrease by one in each [`FORGET_TIME`].
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentStarts {
    count: f64,
    counted_at: Duration,
}

impl RecentStarts {
    fn count(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.counted_at);
        (self.count - age.div_duration_f64(FORGET_TIME)).max(0.0)
    }

    /// Counts a start. Returns the share of its rate that the runner gets: it halves with each start
    /// beyond the first one.
    pub(super) fn add(&mut self, now: Duration) -> f64 {
        let before = self.count(now);
        self.count = before + 1.0;
        self.counted_at = now;
        0.5f64.powf(before).max(MIN_SHARE)
    }

    /// Returns whether all starts are forgotten.
    pub(super) fn is_over(&self, now: Duration) -> bool {
        self.count(now) <= 0.0
    }
}
