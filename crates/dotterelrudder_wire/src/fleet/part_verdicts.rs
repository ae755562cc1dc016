//! The leader's verdicts on parts of prompts.

use serde::Deserialize;
use serde::Serialize;

use super::PartBlock;
use super::SharedPart;

/// Sent by the leader to entries after each change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartVerdicts {
    /// Whether the receiver drops blocks that are not listed. A new leader first takes over the
    /// blocks that entries hold.
    pub is_complete: bool,
    /// Parts under suspicion; entries report when answers to requests with them begin.
    pub watched: Vec<SharedPart>,
    /// The blocks in force.
    pub blocks: Vec<PartBlock>,
}
