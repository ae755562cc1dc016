//! Change of a runner's suspected state.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::RunnerState;

/// A change of a runner's suspected state, as logged by the entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspicionChange {
    /// The runner's identity.
    pub identity: CompactString,
    /// The address that the runner listens on.
    pub address: SocketAddr,
    /// Whether the runner is suspected now.
    pub suspected: bool,
    /// The age of the runner's last load report.
    pub load_age: Duration,
}

impl SuspicionChange {
    /// Describes the runner's current state.
    pub fn of(runner: &RunnerState, now: Duration) -> Self {
        Self {
            identity: runner.record.identity.clone(),
            address: runner.record.address,
            suspected: runner.suspected,
            load_age: runner.load_age(now).unwrap_or_default(),
        }
    }
}
