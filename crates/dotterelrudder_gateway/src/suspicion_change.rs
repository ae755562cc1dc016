//! A runner that is suspected from now on, or not any more.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::RunnerState;

/// What an entry's log tells of a change in its trust.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspicionChange {
    /// The runner's start.
    pub identity: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is suspected now.
    pub suspected: bool,
    /// The age of its last report.
    pub load_age: Duration,
}

impl SuspicionChange {
    /// Tells how an entry trusts a runner from now on.
    pub fn of(runner: &RunnerState, now: Duration) -> Self {
        Self {
            identity: runner.record.identity.clone(),
            address: runner.record.address,
            suspected: runner.suspected,
            load_age: runner.load_age(now).unwrap_or_default(),
        }
    }
}
