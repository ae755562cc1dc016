//! The fleet state in force, as the leader confirms it to entries and sides.

use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_types::InstanceName;
use serde::Deserialize;
use serde::Serialize;

use super::ModelWeights;

/// Replies to a [`super::FleetQuery`], or pushes a change without a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    /// The number of the receiver's last request; the state was current at some time after that
    /// request was sent.
    pub asked: u64,
    /// The version of the deployment configuration in force.
    pub version: u64,
    /// The deployment configuration, if the receiver holds an older one.
    pub configuration: Option<Box<DeploymentConfiguration>>,
    /// The weight version that was last set for each model.
    pub weights: Vec<ModelWeights>,
    /// The control instances that replicate the log.
    pub controls: Vec<InstanceName>,
    /// The number of the latest directory of stored parts that the leader sent to the receiver.
    pub directory: u64,
    /// The time on the clock of runners and stores when the state was sent, in milliseconds; 0 when
    /// unknown.
    pub engine_clock_ms: u64,
    /// The number of entries that follow the leader; these entries share every limit that applies
    /// to all of them together.
    pub entries: u32,
}
