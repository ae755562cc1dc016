//! What an entry knows of one runner's request limit, and the requests that it has for the runner.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// One row of a [`super::LimitReport`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerDemand {
    /// The identity of the runner.
    pub runner: CompactString,
    /// The limit that the entry keeps to, in requests per second. A new leader, which knows no
    /// limits, takes it over.
    pub held: f64,
    /// The lowest limit that answers to this entry named since its last report.
    pub named: Option<f64>,
    /// The number of answers since the last report that named no limit.
    pub answers_without: u32,
    /// The requests that the entry has no permit for: urgency, 0 first, and their number.
    pub wanted: Vec<(u8, u32)>,
}
