//! How long an entry may go by what control confirmed.
//!
//! The lease counts from the moment at which the question was asked, not from the answer: an
//! answer that was on its way while the process stood still proves nothing about the time since.

use std::time::Duration;

/// The newest question that the leading control instance answered.
#[derive(Debug, Default)]
pub struct ConfirmedLease {
    asked_at: Option<Duration>,
}

impl ConfirmedLease {
    /// Learns that a question asked at `asked_at` was answered.
    pub fn confirm(&mut self, asked_at: Duration) {
        self.asked_at = self.asked_at.max(Some(asked_at));
    }

    /// Returns whether what was confirmed may still be used.
    pub fn holds(&self, now: Duration, length: Duration) -> bool {
        self.asked_at
            .is_some_and(|at| now.saturating_sub(at) < length)
    }

    /// Returns how old the last confirmation is.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.asked_at.map(|at| now.saturating_sub(at))
    }
}
