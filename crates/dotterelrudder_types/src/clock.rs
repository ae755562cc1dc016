//! The clock as an interface, so that tests can drive time.

use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

/// Tells the time to a daemon; cores get the monotonic time with each input.
pub trait Clock {
    /// Returns the monotonic time since the process's start.
    fn now(&self) -> Duration;
    /// Returns the wall-clock time, used for audit rows and retention only.
    fn wall(&self) -> SystemTime;
}

/// A clock that stands still until it is moved.
#[derive(Debug, Default)]
pub struct ManualClock {
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Moves the clock forward.
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
