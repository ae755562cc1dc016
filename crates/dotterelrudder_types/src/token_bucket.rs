//! A token bucket whose rate may change between two uses.

use std::time::Duration;

/// A bucket of tokens that is refilled at a rate and holds a limited number.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens` at the time `now`.
    pub fn new(now: Duration, tokens: f64) -> Self {
        Self {
            tokens,
            refilled_at: now,
        }
    }

    /// Adds the tokens since the last refill, at `rate` tokens a second up to `capacity`.
    pub fn refill(&mut self, now: Duration, rate: f64, capacity: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes one token. Returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Returns the number of tokens.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
