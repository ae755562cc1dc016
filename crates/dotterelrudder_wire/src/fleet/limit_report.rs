//! The report of an entry about runners that name request limits.

use serde::Deserialize;
use serde::Serialize;

use super::RunnerDemand;

/// Sent by an entry to the leader, which answers with [`super::LimitGrants`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The number of the report; grants repeat it, so that the entry knows how old they are.
    pub number: u64,
    /// One row for each runner with a limit.
    pub runners: Vec<RunnerDemand>,
}
