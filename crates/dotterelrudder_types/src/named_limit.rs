//! The request limit that a backend server names in its answers.

use std::time::Duration;

/// How long a limit outlasts the answers that named it: longer than answers to requests that were
/// sent at the same time are apart, so that late answers and values that alternate don't raise it.
const LIMIT_HOLD: Duration = Duration::from_secs(1);
/// The number of consecutive answers without a limit after which the limit has ended.
const ANSWERS_TO_END: u32 = 2;

/// Derives the limit in force from the answers of one backend server.
///
/// A lower value counts at once, a higher one or none only when no answer named the lower value
/// for a while; see docs/design/runner-limits.md.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NamedLimit {
    /// The limit in requests per second, and when an answer last named this value or a lower one.
    in_force: Option<(f64, Duration)>,
    /// When an answer last named any limit.
    named_at: Duration,
    /// The number of answers without a limit since then.
    answers_without: u32,
}

impl NamedLimit {
    /// Applies an answer that names a limit, in requests per second.
    pub fn on_named(&mut self, now: Duration, rate: f64) {
        let held = self
            .in_force
            .is_some_and(|(held, confirmed_at)| rate > held && now < confirmed_at + LIMIT_HOLD);
        if !held {
            self.in_force = Some((rate, now));
        }
        self.named_at = now;
        self.answers_without = 0;
    }

    /// Applies answers that name no limit.
    pub fn on_answers_without(&mut self, now: Duration, answers: u32) {
        self.answers_without = self.answers_without.saturating_add(answers);
        if self.answers_without >= ANSWERS_TO_END && now >= self.named_at + LIMIT_HOLD {
            self.in_force = None;
        }
    }

    /// Returns the limit in force, in requests per second.
    pub fn rate(&self) -> Option<f64> {
        self.in_force.map(|(rate, _)| rate)
    }

    /// Returns when an answer last named a limit.
    pub fn named_at(&self) -> Duration {
        self.named_at
    }
}
