//! The times of the replicated log.

use std::time::Duration;

/// Times that must be alike at all replicas of a log.
#[derive(Debug, Clone, Copy)]
pub struct RaftTiming {
    /// How often a leader makes itself heard.
    pub heartbeat: Duration,
    /// The shortest silence after which an election starts; the longest is twice that.
    pub election: Duration,
    /// The shortest wait for a leader after a start; the longest is twice that. A leader that lives
    /// makes itself heard well before.
    pub first_election: Duration,
    /// How long a contact counts as fresh; below `election` by a margin for clock drift.
    pub lease: Duration,
    /// Entries after which a snapshot replaces them.
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
