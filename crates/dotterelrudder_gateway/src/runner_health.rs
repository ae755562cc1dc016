//! What an entry's own calls say about a runner.
//!
//! Load pattern: a runner falls silent, fails a share of its requests while its health check is
//! good, or goes up and down. Silence ejects at once, since every further call would wait; other
//! faults eject after some in a row, and a share of failures makes the runner less attractive. A
//! runner that isn't chosen can't show that it has recovered, so that what is held against it fades.

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
/// The longest rest that a runner may ask for; a longer one is a mistake of its own or of the
/// way, and a runner that recovers earlier must not lie idle.
const LONGEST_REST: Duration = Duration::from_secs(10);
/// How long a runner is spared whose address or weights changed, until the lists tell.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(500);
/// The weight of the newest outcome in the share of failures.
const NEWEST: f64 = 0.1;
/// The time in which half of the share of failures fades; faults last some seconds.
const FAILING_HALF_LIFE: Duration = Duration::from_secs(2);
/// How long after an ejection a runner counts as on trial; an answer ends it sooner.
const TRIAL: Duration = Duration::from_secs(2);

/// The failures of one runner as one entry saw them.
#[derive(Debug, Clone, Default)]
pub struct RunnerHealth {
    in_row: u32,
    ejections: u32,
    spared_until: Duration,
    failing: f64,
    failing_at: Duration,
}

impl RunnerHealth {
    /// Learns how an attempt ended.
    pub fn note(&mut self, now: Duration, outcome: RunOutcome) {
        self.failing = self.failing(now);
        self.failing_at = now;
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

    /// Spares a runner for as long as it asks.
    pub fn rest(&mut self, now: Duration, asked: Duration) {
        self.spare(now + asked.min(LONGEST_REST));
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

    /// Returns whether the runner was ejected lately and has not answered since.
    pub fn is_on_trial(&self, now: Duration) -> bool {
        self.ejections > 0 && now < self.spared_until + TRIAL
    }

    /// Returns the share of failures, newer ones counting more.
    pub fn failing(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failing_at);
        self.failing * 0.5f64.powf(age.div_duration_f64(FAILING_HALF_LIFE))
    }

    /// Returns when the runner takes requests again.
    pub fn spared_until(&self) -> Duration {
        self.spared_until
    }
}
