//! The clock of a running process.

use std::time::Duration;
use std::time::SystemTime;

use dotterelrudder_types::Clock;
use rustix::time::clock_gettime;
use rustix::time::ClockId;

/// Tells the operating system's time.
///
/// The time counts on while the machine is suspended, unlike [`std::time::Instant`]: a lease that
/// ran out meanwhile must not look valid to a process that wakes.
#[derive(Debug, Clone)]
pub struct SystemClock {
    start: Duration,
}

fn boot_time() -> Duration {
    let t = clock_gettime(ClockId::Boottime);
    Duration::new(t.tv_sec.unsigned_abs(), t.tv_nsec.unsigned_abs() as u32)
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { start: boot_time() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        boot_time().saturating_sub(self.start)
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
