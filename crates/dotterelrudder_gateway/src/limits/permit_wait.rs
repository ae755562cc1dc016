//! How long a request waits for a permit when all open runners have request limits.

use std::time::Duration;

/// The estimate of a wait for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitWait {
    /// The estimated time until the request gets a permit.
    pub time: Duration,
    /// Whether the estimate rests on what the leader knows of the demand at all entries. Without it
    /// the request has to wait for the answer to a report, which takes milliseconds.
    pub is_known: bool,
    /// Whether one of the runners that the request waits for is cold.
    pub is_cold: bool,
}
