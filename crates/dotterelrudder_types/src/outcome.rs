//! Whether a refused request may have run.

use serde::Deserialize;
use serde::Serialize;

/// Whether a request that received no response may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The backend server was never called for the request.
    NotRun,
    /// The backend server may have run the request, completely or in part.
    Unknown,
}

impl Outcome {
    /// Returns the name of the outcome in error responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}
