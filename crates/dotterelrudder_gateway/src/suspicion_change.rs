//! A runner that is suspected from now on, or not any more.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

/// What an entry's log tells of a change in its trust.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspicionChange {
    /// The runner's start.
    pub identity: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is suspected now.
    pub suspected: bool,
    /// The age of its last report.
    pub load_age: Duration,
}
