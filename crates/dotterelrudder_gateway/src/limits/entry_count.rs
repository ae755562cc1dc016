//! Number of entries among which limits that apply to all of them are divided.

use std::time::Duration;

/// How long a smaller number is told before it counts. A leader that has just been elected knows only
/// the entries that have queried it so far.
const SMALLER_AFTER: Duration = Duration::from_secs(10);

/// The number of entries, which rises at once and falls with a delay: with too small a number each
/// entry takes more than its part.
#[derive(Debug, Clone, Copy)]
pub struct EntryCount {
    count: u32,
    /// When the leader last told this number or a larger one.
    confirmed_at: Duration,
}

impl Default for EntryCount {
    fn default() -> Self {
        Self {
            count: 1,
            confirmed_at: Duration::ZERO,
        }
    }
}

impl EntryCount {
    /// Applies the number that the leader tells.
    pub fn update(&mut self, now: Duration, count: u32) {
        if count >= self.count || now >= self.confirmed_at + SMALLER_AFTER {
            self.count = count.max(1);
            self.confirmed_at = now;
        }
    }

    /// Returns the number of entries, at least 1.
    pub fn get(&self) -> u32 {
        self.count
    }
}
