//! The load update of a runner, sent by the leader to entries.

use serde::Deserialize;
use serde::Serialize;

use super::RunnerAttributes;
use super::RunnerLoadSample;

/// The load of a runner without its attributes unless they changed. This keeps updates small: the
/// leader sends the loads of all runners to every entry several times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerLoadUpdate {
    /// The load, which changes from report to report.
    pub reading: RunnerLoadSample,
    /// The attributes; `None` when they are the same as in the last update that carried them.
    pub traits: Option<Box<RunnerAttributes>>,
}
