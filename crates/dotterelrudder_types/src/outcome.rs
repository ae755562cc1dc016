//! What is known of a refused request's execution.

use serde::Deserialize;
use serde::Serialize;

/// Whether a request that got no answer can have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The backend server was never called for it.
    NotRun,
    /// The backend server may have run it, wholly or in part.
    Unknown,
}

impl Outcome {
    /// Returns the name that callers read.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}
