//! The clock of a running process.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use dotterelrudder_types::Clock;

/// Tells the operating system's time.
#[derive(Debug, Clone)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns milliseconds since the epoch.
pub fn wall_ms<C>(clock: &C) -> u64
where
    C: Clock,
{
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
