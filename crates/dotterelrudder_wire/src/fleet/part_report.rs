//! The report of an entry about parts of prompts that may crash runners.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::RunnerLoss;
use super::SharedPart;

/// Sent by an entry to the leader: at once when a runner ended, and at regular intervals while there
/// are blocks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// Runners that ended.
    pub losses: Vec<RunnerLoss>,
    /// Watched parts, each with the time since an answer to a request with it last began.
    pub begun: Vec<(SharedPart, Duration)>,
    /// The blocks that the entry holds, as their parts and the number of requests refused since the
    /// last report.
    pub held: Vec<(Vec<SharedPart>, u32)>,
}
