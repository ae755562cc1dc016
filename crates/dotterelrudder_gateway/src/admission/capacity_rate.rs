//! The rate at which capacity becomes available to an entry, learned while requests wait.
//!
//! Placements only show the runners' capacity while requests wait for it; at other times they show
//! the demand. The rate therefore starts from a prior at the beginning of each shortage, and follows
//! the placements from then on. A pause in placements lowers it.

use std::time::Duration;

/// The time over which placements are averaged.
const LEARNING_TIME: Duration = Duration::from_millis(1_000);
/// The time over which the prior follows the placements of a shortage. One long prompt is as much work
/// as all others of a second at one entry, so that a second of placements alone is too little.
const PRIOR_TIME: Duration = Duration::from_millis(4_000);
/// The longest interval between two observations that counts as a pause in placements. A longer one
/// means that this process did not run, as a waiting request is observed every few hundredths of a
/// second.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// The number of classes that are told apart: nine urgencies, in time and late.
const CLASSES: usize = 18;
/// The part of the rate that is expected for requests of any urgency, from 0 to 1; the share of work
/// that goes to requests whose turn has come, see `ShortageQueue`.
const MIN_SHARE: f64 = 0.125;

/// The learned rate of one service.
#[derive(Debug)]
pub struct CapacityRate {
    /// The work placed lately, by class, weighted by its age.
    placed: [f64; CLASSES],
    /// The observed time, weighted by its age, in seconds.
    observed: f64,
    /// The rate expected before anything is observed, in work per second.
    prior: f64,
    /// The capacity by which the rate was learned, in work per second.
    capacity: f64,
    last_observed: Duration,
}

impl CapacityRate {
    /// Creates the rate of a service with this estimated capacity, in work per second.
    pub fn new(now: Duration, capacity: f64) -> Self {
        Self {
            placed: [0.0; CLASSES],
            observed: 0.0,
            prior: capacity,
            capacity,
            last_observed: now,
        }
    }

    /// Lets the time pass until `now`, in which requests waited. `capacity` is the estimated capacity
    /// of the runners that are open now: the share of those that were lost is removed.
    pub fn observe(&mut self, now: Duration, capacity: f64) {
        let passed = now.saturating_sub(self.last_observed);
        self.last_observed = self.last_observed.max(now);
        if self.capacity > 0.0 && capacity < self.capacity {
            let left = (capacity / self.capacity).max(0.0);
            self.prior *= left;
            self.placed.iter_mut().for_each(|p| *p *= left);
        }
        self.capacity = capacity;
        let passed = passed.min(MAX_PAUSE);
        let kept = (-passed.div_duration_f64(LEARNING_TIME)).exp();
        let learned = self.placed.iter().sum::<f64>() / LEARNING_TIME.as_secs_f64();
        let kept_prior = (-passed.div_duration_f64(PRIOR_TIME)).exp();
        self.prior = learned + (self.prior - learned) * kept_prior;
        self.placed.iter_mut().for_each(|p| *p *= kept);
        self.observed = self.observed * kept + passed.as_secs_f64();
    }

    /// Counts a placement during a shortage.
    pub fn placed(&mut self, urgency: u8, is_late: bool, work: f64) {
        self.placed[class(urgency, is_late)] += work;
    }

    /// Goes on after a time in which no request waited, which does not count.
    pub fn resume(&mut self, now: Duration) {
        self.last_observed = self.last_observed.max(now);
    }

    /// Returns the rate for requests of all urgencies, in work per second.
    pub fn total(&self) -> f64 {
        let prior_time = LEARNING_TIME.as_secs_f64();
        let placed = self.placed.iter().sum::<f64>();
        (placed + self.prior * prior_time) / (self.observed + prior_time)
    }

    /// Returns the rate that is left for requests of an urgency, after more urgent ones, and after those
    /// of their own urgency that are in time if they are late themselves, in work per second.
    pub fn left_for(&self, urgency: u8, is_late: bool) -> f64 {
        let total = self.total();
        let placed = self.placed.iter().sum::<f64>();
        let before = self.placed.iter().take(class(urgency, is_late));
        let before = before.sum::<f64>();
        let taken = if placed > 0.0 { before / placed } else { 0.0 };
        total * (1.0 - taken).max(MIN_SHARE)
    }
}

/// Returns the class of a request; lower ones go first.
fn class(urgency: u8, is_late: bool) -> usize {
    (usize::from(urgency) * 2 + usize::from(is_late)).min(CLASSES - 1)
}
