//! The end of a runner under requests that had not begun.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use super::SharedPart;

/// The largest number of requests that one [`RunnerLoss`] lists.
pub const MAX_LOST_REQUESTS: usize = 64;

/// A runner that ended, as one entry saw it: it closed connections on which no answer had begun, and
/// refused the next one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLoss {
    /// The identity of the runner.
    pub runner: CompactString,
    /// The time since the first of the requests was sent. A request that was sent after an earlier
    /// end of the same runner shows that it had started again.
    pub sent_ago: Duration,
    /// The time since the first connection closed.
    pub lost_ago: Duration,
    /// What each request whose answer had not begun may share with others.
    pub requests: Vec<Vec<SharedPart>>,
}
