//! What a side sees of its runner.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use super::RunnerAttributes;
use super::RunnerLoadSample;

/// The load and state of a runner, as read by the side on its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// What changes from report to report.
    pub reading: RunnerLoadSample,
    /// What rarely changes.
    pub traits: RunnerAttributes,
}

impl RunnerLoad {
    /// Returns the version that the runner serves of a model.
    pub fn version_of(&self, model: &CompactString) -> Option<u64> {
        let found = self.traits.weights.iter().find(|w| w.model == *model);
        found.map(|w| w.version)
    }
}
