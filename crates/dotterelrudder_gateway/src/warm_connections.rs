//! Whether a request to a runner will find a connection open.
//!
//! Load pattern: a hundred entries send a few requests a second each to two hundred runners. Drawn
//! anew for each request, a runner is rarely one that was used lately, and most requests open a
//! connection, which costs the runner a place for a moment and the caller a round trip. So a few
//! runners with an open connection are in sight as well; entries hold different ones.

use std::time::Duration;

/// How long a connection may have been idle for a request that must not be repeated: its loss on
/// a connection that the server just closed couldn't be mended.
pub const CONNECTION_MAX_IDLE_NOT_REPEATABLE: Duration = Duration::from_millis(1_500);
/// How long a connection is usable for other requests, when the server doesn't say.
pub const CONNECTION_MAX_IDLE: Duration = Duration::from_millis(2_800);

/// The connections to one runner that its last requests left open, about.
#[derive(Debug, Default)]
pub struct WarmConnections {
    idle: u32,
    since: Duration,
}

impl WarmConnections {
    /// Counts a request that takes a connection, if one is left.
    pub fn acquire(&mut self) {
        self.idle = self.idle.saturating_sub(1);
    }

    /// Counts a connection that a whole answer left open.
    pub fn release(&mut self, now: Duration) {
        if now > self.since + CONNECTION_MAX_IDLE {
            self.idle = 0;
        }
        self.idle += 1;
        self.since = now;
    }

    /// Returns whether a request finds a connection open.
    pub fn is_warm(&self, now: Duration, repeatable: bool) -> bool {
        let limit = if repeatable {
            CONNECTION_MAX_IDLE
        } else {
            CONNECTION_MAX_IDLE_NOT_REPEATABLE
        };
        self.idle > 0 && now < self.since + limit
    }
}
