//! What the leader keeps of a heartbeat round, to date its followers' replies and logs.

use std::time::Duration;

/// A heartbeat round of the leader.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeartbeatRound {
    pub(super) number: u64,
    pub(super) sent_at: Duration,
    /// The commit index when it was sent.
    pub(super) commit: u64,
}
