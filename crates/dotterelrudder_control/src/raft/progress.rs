//! What a leader knows of one follower.

use std::time::Duration;

/// A follower's place in the log.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// The next index to send.
    pub(super) next: u64,
    /// The highest index known to be synced there.
    pub(super) matched: u64,
    /// When the newest message that it answered was sent.
    pub(super) contact: Duration,
    /// When a snapshot was last sent, until it is acknowledged.
    pub(super) snapshot_sent: Option<Duration>,
}

impl Progress {
    pub(super) fn new(next: u64, now: Duration) -> Self {
        Self {
            next,
            matched: 0,
            contact: now,
            snapshot_sent: None,
        }
    }
}
