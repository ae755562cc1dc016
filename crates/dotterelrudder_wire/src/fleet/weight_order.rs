//! An order to load weights.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::ModelWeights;

/// Asks a side to have its runner load a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightOrder {
    /// The fencing number: the index of the order in the log.
    pub fence: u64,
    /// The runner.
    pub runner: SocketAddr,
    /// What to load.
    pub weights: ModelWeights,
}
