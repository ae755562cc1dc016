//! The request for the fleet state by an entry or a side.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Requests that the leading control instance confirm the state that the sender holds, or send a
/// newer one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetQuery {
    /// The number of the request; the reply repeats it, so that the sender knows the age of the
    /// reply.
    pub asked: u64,
    /// The version of the deployment configuration that the sender has in force.
    pub held: u64,
    /// The number of the directory of stored parts that the sender holds; 0 for none.
    pub directory: u64,
    /// The address of the backend server that the sending side manages; `None` for an entry.
    pub beside: Option<SocketAddr>,
}
