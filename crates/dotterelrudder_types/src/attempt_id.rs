//! The identity of one attempt to run a request.

use serde::Deserialize;
use serde::Serialize;

/// Names one attempt in the whole deployment, so that cancels, queries and late messages can't be
/// mistaken for those of another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The random number that the entry drew when it started.
    pub incarnation: u64,
    /// The attempt's number within that incarnation.
    pub sequence: u64,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation, self.sequence)
    }
}
