//! The rate of requests that a backend server takes after its start.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How a service's backend servers warm up. A server that gets requests at a well higher rate while
/// it is cold crashes; see docs/design/cold-runners.md.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// How long a server is cold after a start.
    pub time: Duration,
    /// The requests a second that a cold server takes from all callers together.
    pub requests_per_s: f64,
}
