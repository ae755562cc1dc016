//! The status report of a control replica, shown by the operators' `status` command.

use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use serde::Serialize;

/// Status of one process that has connected to the control replica.
#[derive(Debug, Clone, Serialize)]
pub struct InstanceStatus {
    /// Name of the process.
    pub name: InstanceName,
    /// Whether a connection to it is open.
    pub connected: bool,
    /// Revision that the process has in force.
    pub revision: Revision,
    /// Weight version that the side's engine serves; empty for other roles.
    pub weight_version: String,
    /// Number of attempts that the side runs.
    pub running: u32,
    /// Number of attempts that wait at the side.
    pub waiting: u32,
    /// Whether the process was asked to drain.
    pub draining: bool,
}

/// Status of a control replica, of its Raft group and of the connected processes.
#[derive(Debug, Clone, Serialize)]
pub struct ControlStatus {
    /// The replica's disk identity, as 16 hexadecimal digits.
    pub replica: String,
    /// Whether the replica leads.
    pub leads: bool,
    /// The leading instance, if known.
    pub leader: Option<InstanceName>,
    /// The current Raft term.
    pub term: u64,
    /// The highest log index known to be committed.
    pub commit: u64,
    /// Whether the replica's contact with a quorum is within the lease.
    pub fresh: bool,
    /// The configuration revision in force at this replica.
    pub revision: Revision,
    /// The data centres whose backend servers get no requests.
    pub evacuated: Vec<DataCentre>,
    /// The Raft members: instance, disk identity, and whether it votes.
    pub members: Vec<(InstanceName, String, bool)>,
    /// Number of claims in any state, including tombstones.
    pub claims: usize,
    /// The processes that are connected, or were until recently.
    pub instances: Vec<InstanceStatus>,
}
