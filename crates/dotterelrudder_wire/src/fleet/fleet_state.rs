//! What is in force, as the leader confirms it.

use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_types::InstanceName;
use serde::Deserialize;
use serde::Serialize;

use super::ModelWeights;

/// Answers a [`super::FleetQuery`], or brings a change unasked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    /// The number of the receiver's last question; the view was current after it was asked.
    pub asked: u64,
    /// The version of the whole configuration in force.
    pub version: u64,
    /// The configuration, when the receiver holds an older one.
    pub configuration: Option<Box<DeploymentConfiguration>>,
    /// The weight version that was named last for each model.
    pub weights: Vec<ModelWeights>,
    /// The control instances that hold the log.
    pub controls: Vec<InstanceName>,
    /// The number of the directory of stored parts that the leader has told the receiver.
    pub directory: u64,
    /// The clock of runners and stores when the view was sent, in milliseconds; 0 when unknown.
    pub engine_clock_ms: u64,
    /// How many entries follow, which share what is allowed to all of them together.
    pub entries: u32,
}
