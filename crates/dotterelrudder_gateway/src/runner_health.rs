//! What an entry's own calls say about a runner.
//!
//! Load pattern: a runner falls silent, fails a share of its requests while its health check is
//! good, or goes up and down. Silence ejects at once, since every further call would wait; other
//! faults eject after some in a row, and a share of failures makes the runner less attractive. A
//! runner that isn't chosen can't show that it has recovered, so that what is held against it fades.

use std::time::Duration;

use crate::RunOutcome;

/// Failures in a row that eject a runner.
const EJECT_AFTER_FAILURES: u32 = 3;
/// The first ejection; a restart of a server takes about as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// The longest ejection, so that a returning runner is found within some seconds.
const MAX_EJECTION: Duration = Duration::from_secs(6);
/// How long a full runner is spared: a few steps of its batch.
const SHED_COOLDOWN: Duration = Duration::from_millis(100);
/// The longest rest that a runner may ask for; a longer one is a mistake of its own or of the
/// way, and a runner that recovers earlier must not lie idle.
const MAX_REQUESTED_BACKOFF: Duration = Duration::from_secs(10);
/// How long a runner is spared whose address or weights changed, until the lists tell.
const MISDIRECTED_COOLDOWN: Duration = Duration::from_millis(500);
/// The weight of the newest outcome in the share of failures.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// The time in which half of the share of failures fades; faults last some seconds.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(2);
/// How long after an ejection a runner counts as on trial; an answer ends it sooner.
const PROBATION: Duration = Duration::from_secs(2);

/// The failures of one runner as one entry saw them.
#[derive(Debug, Clone, Default)]
pub struct RunnerHealth {
    consecutive_failures: u32,
    ejections: u32,
    cooldown_until: Duration,
    failure_rate: f64,
    failure_rate_at: Duration,
}

impl RunnerHealth {
    /// Learns how an attempt ended.
    pub fn record_outcome(&mut self, now: Duration, outcome: RunOutcome) {
        self.failure_rate = self.failure_rate(now);
        self.failure_rate_at = now;
        match outcome {
            RunOutcome::Answered => {
                self.consecutive_failures = 0;
                self.ejections = 0;
                self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
            }
            RunOutcome::Shed => self.extend_cooldown(now + SHED_COOLDOWN),
            RunOutcome::Misdirected => self.extend_cooldown(now + MISDIRECTED_COOLDOWN),
            RunOutcome::Unreachable => {
                self.count_failure();
                self.eject(now);
            }
            RunOutcome::Failed => {
                self.count_failure();
                if self.consecutive_failures >= EJECT_AFTER_FAILURES {
                    self.eject(now);
                }
            }
            RunOutcome::Abandoned => {}
        }
    }

    /// Spares a runner for as long as it asks.
    pub fn back_off(&mut self, now: Duration, asked: Duration) {
        self.extend_cooldown(now + asked.min(MAX_REQUESTED_BACKOFF));
    }

    fn count_failure(&mut self) {
        self.consecutive_failures += 1;
        self.failure_rate = self.failure_rate * (1.0 - FAILURE_RATE_WEIGHT) + FAILURE_RATE_WEIGHT;
    }

    fn extend_cooldown(&mut self, until: Duration) {
        self.cooldown_until = self.cooldown_until.max(until);
    }

    fn eject(&mut self, now: Duration) {
        let pause = FIRST_EJECTION * 2u32.pow(self.ejections.min(4));
        self.ejections += 1;
        self.extend_cooldown(now + pause.min(MAX_EJECTION));
    }

    /// Returns whether the runner takes requests.
    pub fn is_open(&self, now: Duration) -> bool {
        now >= self.cooldown_until
    }

    /// Returns whether the runner was ejected lately and has not answered since.
    pub fn is_on_probation(&self, now: Duration) -> bool {
        self.ejections > 0 && now < self.cooldown_until + PROBATION
    }

    /// Returns the share of failures, newer ones counting more.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_rate_at);
        self.failure_rate * 0.5f64.powf(age.div_duration_f64(FAILURE_RATE_HALF_LIFE))
    }

    /// Returns when the runner takes requests again.
    pub fn cooldown_until(&self) -> Duration {
        self.cooldown_until
    }
}
