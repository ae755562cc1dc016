//! The order to load a weight version, sent by the leader to a side.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::ModelWeights;

/// Orders a side to have its runner load a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightOrder {
    /// The fencing number: the log index of the order.
    pub fence: u64,
    /// The address of the runner.
    pub runner: SocketAddr,
    /// The model and the weight version to load.
    pub weights: ModelWeights,
}
