//! Parts of prompts whose requests are refused.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::SharedPart;

/// A block of requests that crash runners: a request is refused if its prompt holds all of the parts.
/// There are several parts only if every request under which a runner ended held all of them, so
/// that they can't be told apart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartBlock {
    /// The parts, in order.
    pub parts: Vec<SharedPart>,
    /// The number of runners that ended under requests with these parts before the block.
    pub runners: u32,
    /// How long the block has been in force.
    pub age: Duration,
}

impl PartBlock {
    /// Returns the fingerprint of the request that the block is about; `None` if it is about parts of
    /// prompts alone.
    pub fn request(&self) -> Option<&str> {
        let request = self.parts.iter().find(|p| p.is_whole_request())?;
        Some(&request.id)
    }
}
