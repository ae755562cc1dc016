//! A process asks for what is in force.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Asks the leading control instance to confirm what the sender holds, or to bring what is newer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetQuery {
    /// The number of the question; the answer repeats it, so that its age is known to the sender.
    pub asked: u64,
    /// The version of the whole configuration that the sender has in force.
    pub held: u64,
    /// The number of the directory of stored parts that the sender holds; 0 for none.
    pub directory: u64,
    /// The backend server that a side stands beside; none for an entry.
    pub beside: Option<SocketAddr>,
}
