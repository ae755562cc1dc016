//! Timeouts and intervals of the Raft replicas.

use std::time::Duration;

/// Timeouts, intervals and the snapshot threshold. All replicas of a log must use the same values.
#[derive(Debug, Clone, Copy)]
pub struct RaftTiming {
    /// The interval at which a leader sends heartbeats.
    pub heartbeat: Duration,
    /// The shortest election timeout, counted from the last contact with a leader; the longest is
    /// twice that.
    pub election: Duration,
    /// The shortest election timeout after a start; the longest is twice that. Must be well above
    /// `heartbeat`, so that a running leader is noticed before an election starts.
    pub first_election: Duration,
    /// How long a contact counts as fresh. Must be below `election` by a margin for clock drift.
    pub lease: Duration,
    /// The number of applied entries after which a snapshot replaces them.
    pub snapshot_entries: usize,
}

impl Default for RaftTiming {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(600),
            first_election: Duration::from_millis(600),
            lease: Duration::from_millis(500),
            snapshot_entries: 4_096,
        }
    }
}
