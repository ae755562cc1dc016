//! Lease on state that control has confirmed.
//!
//! The lease starts when the query was sent, not when its reply arrived: a reply that was delayed,
//! for example while the process was suspended, proves nothing about the time since the query.

use std::time::Duration;

/// The time of the newest query that the leading control instance replied to.
#[derive(Debug, Default)]
pub struct ConfirmedLease {
    queried_at: Option<Duration>,
}

impl ConfirmedLease {
    /// Records that the query sent at `queried_at` was replied to.
    pub fn confirm(&mut self, queried_at: Duration) {
        self.queried_at = self.queried_at.max(Some(queried_at));
    }

    /// Returns whether the confirmed state may still be used, for a lease of `length`.
    pub fn holds(&self, now: Duration, length: Duration) -> bool {
        self.queried_at
            .is_some_and(|at| now.saturating_sub(at) < length)
    }

    /// Returns the time since the last confirmed query was sent.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.queried_at.map(|at| now.saturating_sub(at))
    }
}
