//! When requests last began with a part of their prompt, or the same request as a whole.

use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_wire::SharedPart;

use crate::health::LOSS_TTL;

/// How long a beginning counts: as long as the ends that it speaks against.
const TTL: Duration = LOSS_TTL;
/// The number of parts after which older ones are put aside; as many more are then remembered.
const MAX_RECENT: usize = 16_384;

/// Remembers beginnings in bounded memory, however many different requests come.
#[derive(Debug, Default)]
pub struct Beginnings {
    recent: HashMap<SharedPart, Duration>,
    older: HashMap<SharedPart, Duration>,
}

impl Beginnings {
    /// Records that a request with the part began.
    pub fn record(&mut self, now: Duration, part: SharedPart) {
        if self.recent.len() >= MAX_RECENT {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(part, now);
    }

    /// Returns when a request with the part last began, if that still counts.
    pub fn last(&self, now: Duration, part: &SharedPart) -> Option<Duration> {
        let at = self.recent.get(part).or_else(|| self.older.get(part));
        at.copied().filter(|at| now < *at + TTL)
    }
}
