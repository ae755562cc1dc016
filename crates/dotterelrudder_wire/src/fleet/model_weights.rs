//! The weight version of a model.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// A model and a version of its weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelWeights {
    /// The model.
    pub model: CompactString,
    /// The version; a higher one is newer.
    pub version: u64,
}
