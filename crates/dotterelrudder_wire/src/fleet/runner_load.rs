//! What a side sees of its runner.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use super::ModelWeights;

/// The load and state of a runner, as read by the side on its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// Where the runner listens.
    pub address: SocketAddr,
    /// The start of this runner, as milliseconds since the epoch; 0 when it isn't told.
    pub born_ms: u64,
    /// Whether the runner answered its side lately.
    pub answers: bool,
    /// Whether the runner takes no new work.
    pub leaving: bool,
    /// Whether the runner carries an order out, or is about to.
    pub loading: bool,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Tokens of KV cache that can't yield.
    pub used_tokens: u64,
    /// Tokens of KV cache that the memory holds.
    pub total_tokens: u64,
    /// The weights that the runner serves.
    pub weights: Vec<ModelWeights>,
}

impl RunnerLoad {
    /// Returns the version that the runner serves of a model.
    pub fn version_of(&self, model: &CompactString) -> Option<u64> {
        let found = self.weights.iter().find(|w| w.model == *model);
        found.map(|w| w.version)
    }
}
