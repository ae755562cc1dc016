//! Limits on the size of callers' requests and on the time that they take to send.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Limits on the requests of one caller's connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest request header, in bytes.
    pub header_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest time to receive a complete header, and the longest pause within a body.
    pub header_time: Duration,
    /// The longest time that a connection may stay open without a request.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
