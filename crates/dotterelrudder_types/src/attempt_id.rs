//! The identity of one attempt to run a request.

use serde::Deserialize;
use serde::Serialize;

/// Identifies one attempt uniquely in the deployment, so that cancellations, queries and late
/// messages cannot be mistaken for those of another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The random number that the entry generated at its start.
    pub incarnation: u64,
    /// The sequence number of the attempt within that incarnation.
    pub sequence: u64,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}-{}", self.incarnation, self.sequence)
    }
}
