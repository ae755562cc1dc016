//! The request limit that a backend server names in its answers.

use std::time::Duration;

/// How long a limit outlasts the last answer that named it: longer than answers to requests that
/// were sent at the same time are apart, since answers overtake each other.
const LIMIT_HOLD: Duration = Duration::from_secs(1);
/// The number of consecutive answers that name a higher limit, or none, after which the limit has
/// risen or ended. Limits below one request a second are named less often than [`LIMIT_HOLD`].
const ANSWERS_TO_RAISE: u32 = 4;

/// Derives the limit in force from the answers of one backend server.
///
/// A lower value counts at once. A higher one, or none, counts when several answers in a row state
/// so and the lower value was not named for a while; see docs/design/runner-limits.md.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NamedLimit {
    /// The limit in force in requests per second.
    rate: Option<f64>,
    /// When an answer last named the limit in force or a lower one.
    confirmed_at: Duration,
    /// The number of answers since then.
    answers_since: u32,
    /// The lowest limit that they named.
    lowest_since: Option<f64>,
    /// When an answer last named any limit.
    named_at: Duration,
}

impl NamedLimit {
    /// Applies an answer that names a limit, in requests per second.
    pub fn on_named(&mut self, now: Duration, rate: f64) {
        self.named_at = now;
        if self.rate.is_none_or(|held| rate <= held) {
            self.confirm(now, Some(rate));
            return;
        }
        self.lowest_since = Some(self.lowest_since.map_or(rate, |lowest| lowest.min(rate)));
        self.count_answers(now, 1);
    }

    /// Applies answers that name no limit.
    pub fn on_answers_without(&mut self, now: Duration, answers: u32) {
        self.count_answers(now, answers);
    }

    /// Counts answers that do not confirm the limit in force, and replaces it if there were enough.
    fn count_answers(&mut self, now: Duration, answers: u32) {
        self.answers_since = self.answers_since.saturating_add(answers);
        if self.answers_since >= ANSWERS_TO_RAISE && now >= self.confirmed_at + LIMIT_HOLD {
            self.confirm(now, self.lowest_since);
        }
    }

    fn confirm(&mut self, now: Duration, rate: Option<f64>) {
        self.rate = rate;
        self.confirmed_at = now;
        self.answers_since = 0;
        self.lowest_since = None;
    }

    /// Returns the limit in force, in requests per second.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Returns when an answer last named a limit.
    pub fn named_at(&self) -> Duration {
        self.named_at
    }
}
