//! What rarely changes at a runner.

use serde::Deserialize;
use serde::Serialize;

use super::ModelWeights;

/// What rarely changes at a runner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerAttributes {
    /// The start of this runner, as milliseconds since the epoch; 0 when it isn't told.
    pub born_ms: u64,
    /// Tokens of KV cache that the memory holds.
    pub total_tokens: u64,
    /// The weights that the runner serves.
    pub weights: Vec<ModelWeights>,
}
