//! The clock of a daemon, read from the operating system.

use std::time::Duration;
use std::time::SystemTime;

use dotterelrudder_types::Clock;
use rustix::time::clock_gettime;
use rustix::time::ClockId;

/// A monotonic clock that starts at its creation, together with the wall clock.
///
/// It reads `CLOCK_BOOTTIME`, which continues while the machine is suspended, unlike
/// [`std::time::Instant`]: a lease that expired during the suspension must not look valid to the
/// resumed process.
#[derive(Debug, Clone)]
pub struct SystemClock {
    start: Duration,
}

/// Returns the time since the machine booted, including suspension.
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

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 for a time before it.
pub fn wall_ms<C>(clock: &C) -> u64
where
    C: Clock,
{
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
