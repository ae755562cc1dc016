//! Estimate of whether a request to a runner will find an idle connection.
//!
//! Load pattern: a hundred entries send a few requests per second each to two hundred runners. With
//! a new random runner for each request, most requests have to open a connection, which occupies a
//! slot of the runner for a moment and costs the caller a round trip. A few runners with an idle
//! connection are therefore candidates in addition to the sample; they differ between entries.

use std::time::Duration;

/// How long a connection may have been idle for a request that must not be repeated. If the server
/// closes the connection at that moment, such a request cannot be retried.
pub const CONNECTION_MAX_IDLE_NOT_REPEATABLE: Duration = Duration::from_millis(1_500);
/// How long an idle connection is usable for other requests if the server does not state a limit.
pub const CONNECTION_MAX_IDLE: Duration = Duration::from_millis(2_800);

/// The approximate number of idle connections to one runner.
#[derive(Debug, Default)]
pub struct WarmConnections {
    idle: u32,
    /// When the last connection became idle.
    since: Duration,
}

impl WarmConnections {
    /// Counts a request, which takes an idle connection if there is one.
    pub fn acquire(&mut self) {
        self.idle = self.idle.saturating_sub(1);
    }

    /// Counts a connection that became idle after a complete response.
    pub fn release(&mut self, now: Duration) {
        if now > self.since + CONNECTION_MAX_IDLE {
            self.idle = 0;
        }
        self.idle += 1;
        self.since = now;
    }

    /// Returns whether a request will probably find a usable idle connection.
    pub fn is_warm(&self, now: Duration, repeatable: bool) -> bool {
        let limit = if repeatable {
            CONNECTION_MAX_IDLE
        } else {
            CONNECTION_MAX_IDLE_NOT_REPEATABLE
        };
        self.idle > 0 && now < self.since + limit
    }
}
