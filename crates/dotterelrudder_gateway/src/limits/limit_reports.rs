//! The reports about request limits that an entry sent to the leader.

use std::collections::VecDeque;
use std::time::Duration;

/// The number of reports whose send times are kept: more than can be sent while a permit is valid.
const MAX_SENT_REPORTS: usize = 64;

/// How long a report waits for its answer until the entry counts as cut off; more than two intervals of
/// reports.
const CUT_OFF_AFTER: Duration = Duration::from_millis(2_500);

/// The numbers and send times of the last reports, and the newest one that was answered.
#[derive(Debug)]
pub struct LimitReports {
    last_number: u64,
    sent: VecDeque<(u64, Duration)>,
    answered_at: Duration,
}

impl LimitReports {
    /// Creates an empty record. `first_number` must be larger than any number that the process used
    /// before a restart, or unlikely to be near one.
    pub fn new(first_number: u64) -> Self {
        Self {
            last_number: first_number,
            sent: VecDeque::new(),
            answered_at: Duration::ZERO,
        }
    }

    /// Records a report that is sent now, and returns its number.
    pub fn sent(&mut self, now: Duration) -> u64 {
        self.last_number += 1;
        self.sent.push_back((self.last_number, now));
        if self.sent.len() > MAX_SENT_REPORTS {
            self.sent.pop_front();
        }
        self.last_number
    }

    /// Records an answer. Returns when the report was sent; none if it is too old to be remembered.
    pub fn answered(&mut self, number: u64) -> Option<Duration> {
        let (_, at) = *self.sent.iter().find(|(n, _)| *n == number)?;
        self.answered_at = self.answered_at.max(at);
        Some(at)
    }

    /// Returns the send time of the newest report that was answered, zero before the first one.
    pub fn answered_at(&self) -> Duration {
        self.answered_at
    }

    /// Returns whether the entry counts as cut off from the leader: a report has waited for an answer
    /// for too long, and so have all later ones.
    pub fn is_cut_off(&self, now: Duration) -> bool {
        let mut unanswered = self.sent.iter().filter(|(_, at)| *at > self.answered_at);
        let oldest = unanswered.next();
        oldest.is_some_and(|(_, at)| now >= *at + CUT_OFF_AFTER)
    }
}
