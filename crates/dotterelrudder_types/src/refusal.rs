//! The refusal of a request, as it is sent between processes.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::ErrorKind;
use crate::Outcome;

/// The reason why a request received no response, with what the caller needs to decide on a retry.
///
/// ```
/// use dotterelrudder_types::{ErrorKind, Outcome, Refusal};
/// let refusal = Refusal::new(ErrorKind::Overloaded, "queue of service \"desk\" is full");
/// assert_eq!(refusal.outcome, Outcome::NotRun);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The error kind, which determines the HTTP status and the default retry advice.
    pub kind: ErrorKind,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// A message for the reader that names the input and what was wrong with it.
    pub detail: CompactString,
    /// The delay after which a retry can succeed; `None` when waiting does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal with the outcome and the retry delay from [`ErrorKind::row`].
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

    /// Replaces the outcome, for a kind that can occur both before and after a run began.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Returns whether the request is certain not to have run.
    pub fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }
}
