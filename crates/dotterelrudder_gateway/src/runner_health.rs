//! What an entry's own calls say about a runner.
//!
//! Load pattern: a runner falls silent, fails a share of its requests while its health check is
//! good, or goes up and down. Silence ejects at once, since every further call would wait; other
//! faults eject after some in a row, and a share of failures makes the runner less attractive.

use std::time::Duration;

use crate::RunOutcome;

/// Failures in a row that eject a runner.
const EJECT_AFTER: u32 = 3;
/// The first ejection; a restart of a server takes about as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// The longest ejection, so that a returning runner is found within some seconds.
const LONGEST_EJECTION: Duration = Duration::from_secs(6);
/// How long a full runner is spared: a few steps of its batch.
const SHED_PAUSE: Duration = Duration::from_millis(100);
/// How long a runner is spared whose address or weights changed, until the lists tell.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(500);
/// The weight of the newest outcome in the share of failures.
const NEWEST: f64 = 0.1;

/// The failures of one runner as one entry saw them.
#[derive(Debug, Clone, Default)]
pub struct RunnerHealth {
    in_row: u32,
    ejections: u32,
    spared_until: Duration,
    failing: f64,
}

impl RunnerHealth {
    /// Learns how an attempt ended.
    pub fn note(&mut self, now: Duration, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Answered => {
                self.in_row = 0;
                self.ejections = 0;
                self.failing *= 1.0 - NEWEST;
            }
            RunOutcome::Shed => self.spare(now + SHED_PAUSE),
            RunOutcome::Misdirected => self.spare(now + MISDIRECTED_PAUSE),
            RunOutcome::Unreachable => {
                self.count_failure();
                self.eject(now);
            }
            RunOutcome::Failed => {
                self.count_failure();
                if self.in_row >= EJECT_AFTER {
                    self.eject(now);
                }
            }
            RunOutcome::Abandoned => {}
        }
    }

    fn count_failure(&mut self) {
        self.in_row += 1;
        self.failing = self.failing * (1.0 - NEWEST) + NEWEST;
    }

    fn spare(&mut self, until: Duration) {
        self.spared_until = self.spared_until.max(until);
    }

    fn eject(&mut self, now: Duration) {
        let pause = FIRST_EJECTION * 2u32.pow(self.ejections.min(4));
        self.ejections += 1;
        self.spare(now + pause.min(LONGEST_EJECTION));
    }

    /// Returns whether the runner takes requests.
    pub fn is_open(&self, now: Duration) -> bool {
        now >= self.spared_until
    }

    /// Returns whether the runner was ejected and has not answered since.
    pub fn is_on_trial(&self) -> bool {
        self.ejections > 0
    }

    /// Returns the share of failures, newer ones counting more.
    pub fn failing(&self) -> f64 {
        self.failing
    }

    /// Returns when the runner takes requests again.
    pub fn spared_until(&self) -> Duration {
        self.spared_until
    }
}
