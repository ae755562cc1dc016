//! A start of a backend server that is leaving.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Names one start of a backend server that stated in a response that it is leaving. A later start
/// under the same identity has another start time, and a successor at the same address another
/// identity.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeavingRunner {
    /// The identity of the server.
    pub identity: CompactString,
    /// The time of its start, in milliseconds since the Unix epoch; 0 if the platform's list does not
    /// state it.
    pub born_ms: u64,
}
