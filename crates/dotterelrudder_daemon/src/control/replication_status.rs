//! The replication status of a control instance, published to the tasks of its daemon.

use std::net::SocketAddr;

use dotterelrudder_control::ChangeBlocker;
use dotterelrudder_types::InstanceName;

/// Position of a control instance in the replicated log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicationStatus {
    /// Whether the replica's contact with a quorum is within the lease, so that it may serve reads
    /// as current.
    pub fresh: bool,
    /// Whether the replica leads under a valid lease, so that its state is the newest.
    pub leads: bool,
    /// Whether there are enough voters for an accepted change to survive the tolerated losses.
    pub durable: bool,
    /// The stores whose contents the replica has to read; empty unless it leads.
    pub stores: Vec<SocketAddr>,
    /// The control instances that are members of the Raft group, voters and learners.
    pub controls: Vec<InstanceName>,
    /// Those of them that vote.
    pub voters: Vec<InstanceName>,
    /// Whether the vote was handed over before a planned stop, or can't be.
    pub may_stop: bool,
    /// What a planned stop waits for.
    pub stop_blocker: Option<ChangeBlocker>,
}
