//! Permits of one runner for one entry.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// One row of [`super::LimitGrants`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerGrant {
    /// The identity of the runner.
    pub runner: CompactString,
    /// The granted permits, each for one request: urgency, 0 first, and their number.
    pub permits: Vec<(u8, u32)>,
    /// The requests of all entries that have no permit yet: urgency and their number.
    pub wanted: Vec<(u8, u32)>,
}
