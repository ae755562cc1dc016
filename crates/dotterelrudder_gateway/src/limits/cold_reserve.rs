//! The requests that an entry may send to a cold runner while it is cut off from control.

use std::time::Duration;

use dotterelrudder_wire::COLD_PERMIT_VALIDITY;
use dotterelrudder_wire::RESERVED_SHARE;

/// This entry's part of the reserve for a cold runner: slots for one request each, which are lost when
/// they are over.
///
/// Entries that are cut off together would save up a request each in a bucket, and send them at once.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdReserve {
    /// The begin of the next slot, or of the current one; `None` while the leader answers.
    slot: Option<Duration>,
    period: Duration,
    is_available: bool,
}

impl ColdReserve {
    /// Moves on to the current slot of a runner that takes `rate` requests a second, among `entries`
    /// entries. The first slot comes after the share `phase` of a period, from 0 to 1.
    pub fn refill(&mut self, now: Duration, rate: f64, entries: u32, is_cut_off: bool, phase: f64) {
        let period = f64::from(entries.max(1)) / (rate * RESERVED_SHARE);
        let period = Duration::try_from_secs_f64(period).unwrap_or(Duration::MAX);
        if !is_cut_off || period == Duration::MAX {
            *self = Self::default();
            return;
        }
        let mut slot = self.slot.unwrap_or_else(|| now + period.mul_f64(phase));
        if now >= slot + COLD_PERMIT_VALIDITY {
            let passed = now.saturating_sub(slot).div_duration_f64(period);
            slot += period.mul_f64(passed.floor());
            if now >= slot + COLD_PERMIT_VALIDITY {
                slot += period;
            }
        }
        self.period = period;
        self.is_available = now >= slot;
        self.slot = Some(slot);
    }

    /// Returns whether a request may be sent in the current slot.
    pub fn is_available(&self) -> bool {
        self.is_available
    }

    /// Takes the request of the current slot.
    pub fn take(&mut self) {
        if self.is_available {
            self.is_available = false;
            self.slot = self.slot.map(|at| at + self.period);
        }
    }
}
