//! How long fetches from a store take now.
//!
//! Load pattern: a store's link turns slow for a while, fetches queue there, and every request
//! that names the store is late although reading the prompt would have been in time. What the
//! fetches of this entry added to the time to the first token is kept as a moving mean; a store
//! beyond what a request can afford is left out, but for one fetch now and then that tells when it
//! is fast again.

use std::time::Duration;

/// The weight of the newest fetch in the mean.
const NEWEST: f64 = 0.3;
/// How often a store that is too slow is asked all the same.
const PROBE_EVERY: Duration = Duration::from_millis(600);

/// The pace of one store as one entry sees it.
#[derive(Debug, Clone, Default)]
pub struct StorePace {
    wait_ms: f64,
    asked_at: Option<Duration>,
}

impl StorePace {
    /// Learns what a fetch added to the time to the first token.
    pub fn note(&mut self, added: Duration) {
        let added = added.as_secs_f64() * 1_000.0;
        self.wait_ms = self.wait_ms * (1.0 - NEWEST) + added * NEWEST;
    }

    /// Decides whether a fetch that may take `affordable` is worth asking for.
    pub fn admits(&mut self, now: Duration, affordable: Duration) -> bool {
        let fits = self.wait_ms <= affordable.as_secs_f64() * 1_000.0;
        let due = self
            .asked_at
            .is_none_or(|at| now.saturating_sub(at) >= PROBE_EVERY);
        if fits || due {
            self.asked_at = Some(now);
        }
        fits || due
    }

    /// Returns the mean of what fetches add, in milliseconds.
    pub fn wait_ms(&self) -> f64 {
        self.wait_ms
    }
}
