//! One process that follows the leader.

use std::net::SocketAddr;
use std::time::Duration;

/// What the leader remembers of a process that asked it.
#[derive(Debug, Clone)]
pub(crate) struct Follower {
    /// The number of the last question.
    pub(crate) asked: u64,
    /// When the last question came.
    pub(crate) asked_at: Duration,
    /// The version of the whole configuration that it was sent or said to hold.
    pub(crate) held: u64,
    /// The backend server that it stands beside; none for an entry.
    pub(crate) beside: Option<SocketAddr>,
    /// The number of the directory of stored parts that it was sent or said to hold.
    pub(crate) directory: u64,
    /// The number of the directory that it held when it asked last.
    pub(crate) directory_held: u64,
    /// The number of the directory that it had been sent by then.
    pub(crate) directory_then: u64,
    /// The number of the list of backend servers that it was sent.
    pub(crate) list_sent: u64,
}

impl Follower {
    /// Returns the number of the directory that a process has once everything on its way has come;
    /// `held` is what its question says. A question crosses updates, which come every few
    /// hundredths of a second, and the whole directory is thousands of times as long as one. One
    /// that doesn't get on from one question to the next has lost an update.
    pub(crate) fn directory_after(&self, held: u64) -> u64 {
        let got_on = held > self.directory_held || held >= self.directory_then;
        if held > 0 && held <= self.directory && got_on {
            self.directory
        } else {
            held
        }
    }
}
