//! Permits that the leader grants to an entry.

use serde::Deserialize;
use serde::Serialize;

use super::RunnerGrant;

/// Answers a [`super::LimitReport`], at once or when more permits become available.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitGrants {
    /// The number of the entry's last report. The permits are valid for [`super::PERMIT_VALIDITY`]
    /// from the time at which that report was sent.
    pub number: u64,
    /// One row for each runner.
    pub grants: Vec<RunnerGrant>,
}
