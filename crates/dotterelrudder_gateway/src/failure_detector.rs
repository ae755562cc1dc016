//! Which runner's reports have stopped while those of others still come.
//!
//! Load pattern: the machine of a runner freezes or loses power, its side with it, so that nobody
//! says that the runner doesn't answer. Prompts go on to it for as long as its last report looks
//! good, and callers wait until they leave. When the reports of all runners stop at once, as while
//! no control instance leads, that says nothing about any of them.

use std::time::Duration;

/// The age of a report beyond which its runner is suspected. Sides tell an unchanged load after
/// 0.3 s at the latest, and the leader passes loads on every 0.2 s.
const SUSPECTED_AFTER: Duration = Duration::from_millis(850);
/// A pause between reports of any runner after which all of them may have been held up.
const MAX_REPORT_GAP: Duration = Duration::from_millis(500);

/// Since when load reports of any runner have come without a gap.
#[derive(Debug, Default)]
pub struct FailureDetector {
    flowing_since: Duration,
    last: Option<Duration>,
}

impl FailureDetector {
    /// Learns that reports came.
    pub fn on_reports(&mut self, now: Duration) {
        let gap = self.last.is_none_or(|at| now > at + MAX_REPORT_GAP);
        if gap {
            self.flowing_since = now;
        }
        self.last = Some(now);
    }

    /// Returns whether a runner whose last report has this age should have reported since.
    pub fn is_overdue(&self, now: Duration, age: Duration) -> bool {
        let flowing = now.saturating_sub(self.flowing_since);
        age.min(flowing) > SUSPECTED_AFTER
    }
}
