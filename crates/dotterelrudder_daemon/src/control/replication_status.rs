//! What the tasks of a control daemon know of its replica.

use std::net::SocketAddr;

use dotterelrudder_types::InstanceName;

/// How a replica of the log stands now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// Whether it is in fresh contact with a quorum.
    pub fresh: bool,
    /// Whether it leads and can vouch for its state.
    pub leads: bool,
    /// Whether enough replicas vote for what is accepted to survive the tolerated losses.
    pub durable: bool,
    /// The stores whose contents it has to read, as the leader.
    pub stores: Vec<SocketAddr>,
    /// The control instances that hold the log.
    pub controls: Vec<InstanceName>,
}
