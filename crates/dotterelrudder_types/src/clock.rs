//! The clock interface of the daemon, and a clock that tests set by hand.

use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

/// The clock that a daemon reads; cores receive the monotonic time with each input instead.
pub trait Clock {
    /// Returns the monotonic time since the start of the process.
    fn now(&self) -> Duration;
    /// Returns the wall-clock time, used for audit rows and retention only.
    fn wall(&self) -> SystemTime;
}

/// A clock whose time changes only when a test advances it.
#[derive(Debug, Default)]
pub struct ManualClock {
    /// The monotonic time, which [`Clock::wall`] returns as the time since the Unix epoch.
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Advances the clock.
    pub fn advance(&self, by: Duration) {
        let mut elapsed = self.elapsed.lock().unwrap_or_else(|e| e.into_inner());
        *elapsed += by;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}
