//! A weight version of a model.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// A model and a version of its weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelWeights {
    /// The name of the model.
    pub model: CompactString,
    /// The version of the weights; a higher version is newer.
    pub version: u64,
}
