//! Runner health: outlier ejection by the outcomes of an entry's own requests.
//!
//! Load pattern: a runner stops responding, fails a share of its requests while its health check
//! passes, or goes up and down. An unreachable runner is ejected at once, since every further
//! request to it would wait for a timeout. Other failures eject a runner after several in a row,
//! and its failure rate makes it less preferred. A runner that receives no requests cannot show
//! that it has recovered, so the failure rate decays over time.

use std::time::Duration;

use crate::RunOutcome;

/// The number of consecutive failures after which a runner is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// The duration of the first ejection; a backend server takes about as long to restart. Each
/// further one lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// The longest ejection, so that a recovered runner is used again within seconds.
const MAX_EJECTION: Duration = Duration::from_secs(6);
/// The cooldown of a runner that refused a request because it is full: a few decoding steps.
const SHED_COOLDOWN: Duration = Duration::from_millis(100);
/// The longest backoff that a runner may request. A longer one is assumed to be an error of the
/// runner or of a proxy, and a runner that recovers earlier must not stay idle.
const MAX_REQUESTED_BACKOFF: Duration = Duration::from_secs(10);
/// The cooldown of a runner whose address or weights changed, until the lists are up to date.
const MISDIRECTED_COOLDOWN: Duration = Duration::from_millis(500);
/// The weight of the newest outcome in the failure rate, which is an exponential moving average.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// The half-life of the failure rate while there are no outcomes; faults last some seconds.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(2);
/// How long a runner is on probation after an ejection; a successful answer ends it earlier.
const PROBATION: Duration = Duration::from_secs(2);

/// The failures of one runner as seen by one entry.
#[derive(Debug, Clone, Default)]
pub struct RunnerHealth {
    consecutive_failures: u32,
    /// Ejections since the last successful answer.
    ejections: u32,
    cooldown_until: Duration,
    /// When the part of the cooldown ends that the runner's own words are the reason for.
    declined_until: Duration,
    failure_rate: f64,
    /// When `failure_rate` was last updated.
    failure_rate_at: Duration,
}

impl RunnerHealth {
    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, now: Duration, outcome: RunOutcome) {
        self.failure_rate = self.failure_rate(now);
        self.failure_rate_at = now;
        match outcome {
            RunOutcome::Answered => {
                self.consecutive_failures = 0;
                self.ejections = 0;
                self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
            }
            RunOutcome::Shed => self.decline(now + SHED_COOLDOWN),
            RunOutcome::Misdirected => self.decline(now + MISDIRECTED_COOLDOWN),
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

    /// Puts the runner in cooldown for the time that it requested.
    pub fn back_off(&mut self, now: Duration, requested: Duration) {
        self.decline(now + requested.min(MAX_REQUESTED_BACKOFF));
    }

    fn count_failure(&mut self) {
        self.consecutive_failures += 1;
        self.failure_rate = self.failure_rate * (1.0 - FAILURE_RATE_WEIGHT) + FAILURE_RATE_WEIGHT;
    }

    fn decline(&mut self, until: Duration) {
        self.declined_until = self.declined_until.max(until);
        self.extend_cooldown(until);
    }

    fn extend_cooldown(&mut self, until: Duration) {
        self.cooldown_until = self.cooldown_until.max(until);
    }

    /// Ejects the runner; the duration doubles with each ejection up to [`MAX_EJECTION`].
    fn eject(&mut self, now: Duration) {
        let pause = FIRST_EJECTION * 2u32.pow(self.ejections.min(4));
        self.ejections += 1;
        self.extend_cooldown(now + pause.min(MAX_EJECTION));
    }

    /// Returns whether the runner is not in cooldown.
    pub fn is_open(&self, now: Duration) -> bool {
        now >= self.cooldown_until
    }

    /// Returns whether nothing but failures keeps the runner in cooldown.
    pub fn is_open_but_for_failures(&self, now: Duration) -> bool {
        now >= self.declined_until
    }

    /// Returns whether the runner was ejected recently and has not answered a request since.
    pub fn is_on_probation(&self, now: Duration) -> bool {
        self.ejections > 0 && now < self.cooldown_until + PROBATION
    }

    /// Returns the failure rate from 0 to 1, with newer outcomes weighted higher.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_rate_at);
        self.failure_rate * 0.5f64.powf(age.div_duration_f64(FAILURE_RATE_HALF_LIFE))
    }

    /// Returns when the cooldown ends.
    pub fn cooldown_until(&self) -> Duration {
        self.cooldown_until
    }
}
