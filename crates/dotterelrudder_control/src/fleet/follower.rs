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
    /// The number of the list of backend servers that it was sent.
    pub(crate) list_sent: u64,
}
