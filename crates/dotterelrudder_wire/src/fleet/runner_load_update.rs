//! A runner's load as the leader passes it on to entries.

use serde::Deserialize;
use serde::Serialize;

use super::RunnerAttributes;
use super::RunnerLoadSample;

/// A load of which only what changes from report to report is always told: every entry is told the
/// loads of all runners several times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerLoadUpdate {
    /// What changes from report to report.
    pub reading: RunnerLoadSample,
    /// What rarely changes, unless it is as told last.
    pub traits: Option<Box<RunnerAttributes>>,
}
