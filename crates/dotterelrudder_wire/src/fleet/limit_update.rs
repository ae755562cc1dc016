//! A change of a runner's request limit, sent by the leader to entries.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// How long a permit is valid, from the time at which the report that it answers was sent.
pub const PERMIT_VALIDITY: Duration = Duration::from_secs(1);

/// The part of each limit that the leader does not grant. Entries that are cut off from the leader
/// use equal shares of it, so that they never send what others send as well.
pub const RESERVED_SHARE: f64 = 0.1;

/// The lowest rate of requests to a limited runner, in requests per second. Only an answer shows
/// that a limit has ended, so that a runner which names a limit of zero still gets a request now and
/// then.
pub const MIN_LIMIT_RATE: f64 = 0.2;

/// The limit of one runner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The identity of the runner.
    pub runner: CompactString,
    /// The limit in requests per second; `None` if it has ended.
    pub rate: Option<f64>,
}
