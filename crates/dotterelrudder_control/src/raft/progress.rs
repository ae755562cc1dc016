//! The replication progress of one follower, as its leader tracks it.

use std::time::Duration;

/// The position of a follower in the log, and the last contact with it.
#[derive(Debug, Clone)]
pub(super) struct Progress {
    /// The index of the next entry to send.
    pub(super) next_index: u64,
    /// The highest index that is known to match the leader's log and to be synced.
    pub(super) match_index: u64,
    /// The time at which the leader sent the latest heartbeat round that the follower answered.
    pub(super) last_contact: Duration,
    /// Whether there is more than its silence to show that the follower is lost: its connection closed,
    /// or it led before and its silence led to the election of this leader.
    pub(super) is_presumed_lost: bool,
    /// The time at which a snapshot was last sent; `None` once it is acknowledged.
    pub(super) snapshot_sent_at: Option<Duration>,
}

impl Progress {
    pub(super) fn new(next_index: u64, now: Duration) -> Self {
        Self {
            next_index,
            match_index: 0,
            last_contact: now,
            is_presumed_lost: false,
            snapshot_sent_at: None,
        }
    }
}
