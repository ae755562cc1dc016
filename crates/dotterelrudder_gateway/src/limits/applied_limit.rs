//! The request limit that stood when a request was placed, for its log line.

use std::time::Duration;

use compact_str::CompactString;

/// The limits that bore on a placement.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AppliedLimit {
    /// The limit of the chosen runner in requests per second.
    pub rate: Option<f64>,
    /// The rate at which the chosen runner takes requests while it is cold.
    pub cold_rate: Option<f64>,
    /// Whether the chosen runner's service declares a warm-up.
    pub warms_up: bool,
    /// When the permit expires by which a request is sent to a cold runner.
    pub send_by: Option<Duration>,
    /// The permits that were left to this entry.
    pub permits_left: usize,
    /// The age of the newest report about limits that the leader answered.
    pub answered_ago: Duration,
    /// The runner that would have been chosen if there had been a permit for it.
    pub passed_over: Option<CompactString>,
}
