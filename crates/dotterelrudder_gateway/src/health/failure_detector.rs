//! Failure detector: which runners' load reports have stopped while those of others still arrive.
//!
//! Load pattern: the machine of a runner freezes or loses power together with the runner's side, so
//! that nothing reports the runner as unreachable. Without suspicion, prompts are sent to it for as
//! long as its last report is valid, and callers wait until they disconnect. If the reports of all
//! runners stop at once, for example while no control instance leads, no runner is suspected.

use std::time::Duration;

/// The age of a load report above which its runner is suspected. Sides report an unchanged load at
/// least every 0.3 s, and the leader forwards reports every 0.2 s.
const SUSPECTED_AFTER: Duration = Duration::from_millis(850);
/// The interval without reports of any runner above which all reports may have been delayed.
const MAX_REPORT_GAP: Duration = Duration::from_millis(500);

/// Tracks since when load reports of any runner have arrived without a gap.
#[derive(Debug, Default)]
pub struct FailureDetector {
    flowing_since: Duration,
    /// When reports of any runner arrived last.
    last: Option<Duration>,
}

impl FailureDetector {
    /// Records that reports arrived.
    pub fn on_reports(&mut self, now: Duration) {
        let gap = self.last.is_none_or(|at| now > at + MAX_REPORT_GAP);
        if gap {
            self.flowing_since = now;
        }
        self.last = Some(now);
    }

    /// Returns whether a runner whose last report has this age should have reported again.
    pub fn is_overdue(&self, now: Duration, age: Duration) -> bool {
        let flowing = now.saturating_sub(self.flowing_since);
        age.min(flowing) > SUSPECTED_AFTER
    }
}
