//! What several requests may share that crashes runners: a part of a prompt, or the whole request.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// A shared part of a prompt. Equal ids mean equal text only for the same model.
///
/// Without a model it stands for a whole request, and the id is the request's fingerprint: all
/// repetitions of the request share it. No prompt has a part like that.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SharedPart {
    /// The model that the prompt is for.
    pub model: CompactString,
    /// The id of the part.
    pub id: CompactString,
}

impl SharedPart {
    /// Returns what all repetitions of a request share.
    pub fn whole_request(fingerprint: CompactString) -> Self {
        Self {
            model: CompactString::default(),
            id: fingerprint,
        }
    }

    /// Returns whether it stands for a whole request.
    pub fn is_whole_request(&self) -> bool {
        self.model.is_empty()
    }
}
