//! What a leader knows of one follower.

use std::time::Duration;

/// A follower's place in the log.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// The next index to send.
    pub(super) next_index: u64,
    /// The highest index known to be synced there.
    pub(super) match_index: u64,
    /// When the newest message that it answered was sent.
    pub(super) last_contact: Duration,
    /// When a snapshot was last sent, until it is acknowledged.
    pub(super) snapshot_sent_at: Option<Duration>,
}

impl Progress {
    pub(super) fn new(next_index: u64, now: Duration) -> Self {
        Self {
            next_index,
            match_index: 0,
            last_contact: now,
            snapshot_sent_at: None,
        }
    }
}
