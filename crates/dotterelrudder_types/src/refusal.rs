//! A refusal as it travels between processes.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::ErrorKind;
use crate::Outcome;

/// Why a request got no answer, with what the caller needs to decide on a retry.
///
/// ```
/// use dotterelrudder_types::{ErrorKind, Outcome, Refusal};
/// let refusal = Refusal::new(ErrorKind::Overloaded, "queue of service \"desk\" is full");
/// assert_eq!(refusal.outcome, Outcome::NotRun);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind, which decides the status and the advice to the caller.
    pub kind: ErrorKind,
    /// Whether the request can have run.
    pub outcome: Outcome,
    /// What was wrong with which input.
    pub detail: CompactString,
    /// When a retry makes sense, where waiting helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal with the outcome and the advice that the table gives for `kind`.
    pub fn new<D>(kind: ErrorKind, detail: D) -> Self
    where
        D: Into<CompactString>,
    {
        let row = kind.row();
        Self {
            kind,
            outcome: row.outcome,
            detail: detail.into(),
            retry_after: row.retry_after_s.map(|s| Duration::from_secs(u64::from(s))),
        }
    }

    /// Replaces the outcome, for a kind that can occur before and after a run began.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Returns whether the request certainly was not run.
    pub fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }
}
