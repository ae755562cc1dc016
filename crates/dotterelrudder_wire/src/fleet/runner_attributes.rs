//! Attributes of a runner that rarely change between load reports.

use serde::Deserialize;
use serde::Serialize;

use super::ModelWeights;

/// Start time, KV cache capacity and weights of a runner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerAttributes {
    /// The start time of this runner, in milliseconds since the epoch; 0 when the runner does not
    /// report it.
    pub born_ms: u64,
    /// The capacity of the runner's KV cache memory, in tokens.
    pub total_tokens: u64,
    /// The weight version that the runner serves of each model.
    pub weights: Vec<ModelWeights>,
}
