//! One process that follows the leader.

use std::net::SocketAddr;
use std::time::Duration;

/// What the leader remembers of a process that asked it.
#[derive(Debug, Clone)]
pub(crate) struct FleetClient {
    /// The number of the last question.
    pub(crate) last_query: u64,
    /// When the last question came.
    pub(crate) queried_at: Duration,
    /// The version of the whole configuration that it was sent or said to hold.
    pub(crate) configuration_version: u64,
    /// The backend server that it stands beside; none for an entry.
    pub(crate) colocated_runner: Option<SocketAddr>,
    /// The number of the directory of stored parts that it was sent or said to hold.
    pub(crate) directory_sent: u64,
    /// The number of the directory that it held when it asked last.
    pub(crate) directory_held_at_query: u64,
    /// The number of the directory that it had been sent by then.
    pub(crate) directory_at_query: u64,
    /// The number of the list of backend servers that it was sent.
    pub(crate) runner_list_sent: u64,
}

impl FleetClient {
    /// Returns the number of the directory that a process has once everything on its way has come;
    /// `held` is what its question says. A question crosses updates, which come every few
    /// hundredths of a second, and the whole directory is thousands of times as long as one. One
    /// that doesn't get on from one question to the next has lost an update.
    pub(crate) fn directory_after_delivery(&self, held: u64) -> u64 {
        let progressed = held > self.directory_held_at_query || held >= self.directory_at_query;
        if held > 0 && held <= self.directory_sent && progressed {
            self.directory_sent
        } else {
            held
        }
    }
}
