//! Detects that this entry stood still.

use std::time::Duration;

/// The gap between two calls from which an entry counts as having stood still. Calls come several times as
/// often; a shorter gap is no more than the time by which the platform's list lags.
const MIN_PAUSE: Duration = Duration::from_millis(700);

/// Notices gaps between calls, which come at regular intervals while the entry runs.
///
/// Load pattern: an entry is frozen for seconds and goes on with what waited, before it reads what it was
/// told meanwhile.
#[derive(Debug, Clone, Copy, Default)]
pub struct PauseDetector {
    seen_at: Option<Duration>,
}

impl PauseDetector {
    /// Records a call. Returns whether the entry stood still before it.
    pub fn is_after_pause(&mut self, now: Duration) -> bool {
        let seen_at = self.seen_at.replace(now);
        seen_at.is_some_and(|at| now >= at + MIN_PAUSE)
    }
}
