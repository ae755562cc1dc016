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
    /// The start time of the last start; 0 when unknown.
    born_ms: u64,
    /// The share of its rate that a runner gets after the last start.
    share: f64,
}

impl RecentStarts {
    fn count(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.counted_at);
        (self.count - age.div_duration_f64(FORGET_TIME)).max(0.0)
    }

    /// Counts the start at `born_ms` once, though a report and the list both show it. The share of its
    /// rate that the runner gets halves with each start beyond the first one.
    pub(super) fn add(&mut self, born_ms: u64, now: Duration) {
        if born_ms != 0 && born_ms == self.born_ms {
            return;
        }
        let before = self.count(now);
        *self = Self {
            count: before + 1.0,
            counted_at: now,
            born_ms,
            share: 0.5f64.powf(before).max(MIN_SHARE),
        };
    }

    /// Returns the share of its rate that a runner gets after the last start.
    pub(super) fn share(&self) -> f64 {
        self.share
    }

    /// Returns when the last start was first seen, if it was that at `born_ms`.
    pub(super) fn seen_at(&self, born_ms: u64) -> Option<Duration> {
        (born_ms != 0 && born_ms == self.born_ms).then_some(self.counted_at)
    }

    /// Returns whether all starts are forgotten.
    pub(super) fn is_over(&self, now: Duration) -> bool {
        self.count(now) <= 0.0
    }
}
