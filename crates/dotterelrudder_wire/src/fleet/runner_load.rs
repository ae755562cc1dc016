//! The load report of a runner, sent by its side to the leader.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use super::RunnerAttributes;
use super::RunnerLoadSample;

/// The load and attributes of a runner, as read by the side on its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// The load, which changes from report to report.
    pub reading: RunnerLoadSample,
    /// The attributes, which rarely change.
    pub traits: RunnerAttributes,
}

impl RunnerLoad {
    /// Returns the weight version that the runner serves of a model, if it serves the model.
    pub fn version_of(&self, model: &CompactString) -> Option<u64> {
        let found = self.traits.weights.iter().find(|w| w.model == *model);
        found.map(|w| w.version)
    }
}
