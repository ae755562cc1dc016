//! What the operators' status command shows.

use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use serde::Serialize;

/// One process as a control replica sees it.
#[derive(Debug, Clone, Serialize)]
pub struct InstanceStatus {
    /// The process.
    pub name: InstanceName,
    /// Whether a connection to it is open.
    pub connected: bool,
    /// The revision that it has in force.
    pub revision: Revision,
    /// The weight version that its engine holds; empty for other roles.
    pub weight_version: String,
    /// Attempts that it runs.
    pub running: u32,
    /// Attempts that wait at it.
    pub waiting: u32,
    /// Whether it was asked to drain.
    pub draining: bool,
}

/// A control replica's view of the deployment.
#[derive(Debug, Clone, Serialize)]
pub struct ControlStatus {
    /// The replica's disk identity.
    pub replica: String,
    /// Whether it leads.
    pub leads: bool,
    /// The leading instance, if known.
    pub leader: Option<InstanceName>,
    /// The term.
    pub term: u64,
    /// The highest committed index.
    pub commit: u64,
    /// Whether it is in fresh contact with a quorum.
    pub fresh: bool,
    /// The revision in force here.
    pub revision: Revision,
    /// The members: instance, identity, whether it votes.
    pub members: Vec<(InstanceName, String, bool)>,
    /// Claims whose answers are kept.
    pub claims: usize,
    /// The processes that connected.
    pub instances: Vec<InstanceStatus>,
}
