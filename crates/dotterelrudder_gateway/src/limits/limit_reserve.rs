//! The requests that an entry may send to a limited runner while it is cut off from control.

use std::time::Duration;

use dotterelrudder_types::TokenBucket;
use dotterelrudder_wire::RESERVED_SHARE;

/// This entry's part of the share of a limit that the leader never grants.
#[derive(Debug, Clone, Default)]
pub struct LimitReserve {
    /// Filled while the entry is cut off; `None` while the leader answers.
    bucket: Option<TokenBucket>,
}

impl LimitReserve {
    /// Refills the reserve of a limit of `rate` requests per second, among `entries` entries.
    /// It is empty when the entry begins to be cut off.
    pub fn refill(&mut self, now: Duration, rate: f64, entries: u32, is_cut_off: bool) {
        if !is_cut_off {
            self.bucket = None;
            return;
        }
        let rate = rate * RESERVED_SHARE / f64::from(entries.max(1));
        let bucket = self.bucket.get_or_insert(TokenBucket::new(now, 0.0));
        bucket.refill(now, rate, 1.0);
    }

    /// Returns whether the reserve holds a request.
    pub fn is_available(&self) -> bool {
        self.bucket.is_some_and(|b| b.tokens() >= 1.0)
    }

    /// Takes one request from the reserve. Returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        self.bucket.as_mut().is_some_and(TokenBucket::try_take)
    }
}
