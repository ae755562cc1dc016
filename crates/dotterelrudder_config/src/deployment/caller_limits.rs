//! What a caller may send, and how slowly.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Limits on what one caller's connection may send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's header.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a whole header, and for each pause within a body.
    pub header_time: Duration,
    /// Time that a connection may stay open without a request.
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
