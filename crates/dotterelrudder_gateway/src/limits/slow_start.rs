//! How many requests an entry has in flight at a runner that has just returned.

/// The number of answers that begin after which a runner has shown that it works.
const ANSWERS_TO_TRUST: u32 = 16;

/// Bounds an entry's requests in flight at a runner that returned: one at first, and one more with each
/// answer that begins, so that their number doubles with each round.
///
/// Load pattern: a runner that has just returned is empty, and ranks as least loaded at all entries at
/// once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowStart {
    answers: u32,
    /// Requests from before the return that have not ended. The first ones to end are taken for these.
    earlier: u32,
}

impl SlowStart {
    /// Begins for a runner with `in_flight` requests from before.
    pub fn new(in_flight: u32) -> Self {
        Self {
            answers: 0,
            earlier: in_flight,
        }
    }

    /// Counts an answer that began. Returns whether the runner has shown that it works.
    pub fn on_answer(&mut self) -> bool {
        self.answers += 1;
        self.answers >= ANSWERS_TO_TRUST
    }

    /// Counts a request that ended.
    pub fn on_end(&mut self) {
        self.earlier = self.earlier.saturating_sub(1);
    }

    /// Returns whether a request may be sent while `in_flight` others are.
    pub fn allows(&self, in_flight: u32) -> bool {
        in_flight.saturating_sub(self.earlier) <= self.answers
    }
}
