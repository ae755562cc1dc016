//! A part of a prompt that several requests may share.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// A shared part of a prompt. Equal ids mean equal text only for the same model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SharedPart {
    /// The model that the prompt is for.
    pub model: CompactString,
    /// The id of the part.
    pub id: CompactString,
}
