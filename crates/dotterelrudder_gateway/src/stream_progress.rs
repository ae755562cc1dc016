//! When a stream that may be resumed goes on at another runner although its connection is open.
//!
//! Load pattern: a runner loses power, freezes or hangs in the middle of answers, and its
//! connections stay open without a word, or with bytes that never become an event. Callers leave
//! after a pause of two seconds and more. Slow but sound streams go on: a pause alone counts only
//! once it is several times as long as the objective, and only an event counts as progress.

use std::time::Duration;

use crate::StreamEvent;

/// The objective for pauses of a route that names none.
const DEFAULT_PAUSE_OBJECTIVE: Duration = Duration::from_millis(500);
/// How many times the objective a pause lasts at a runner that nobody doubts; callers leave after
/// eight.
const STALL_OBJECTIVES: f64 = 5.0;

/// How long ago the caller's stream went on.
#[derive(Debug)]
pub struct StreamProgress {
    objective: Duration,
    last_event: Duration,
}

impl StreamProgress {
    /// Starts with the first part of an answer.
    pub fn new(objective: Option<Duration>, now: Duration) -> Self {
        Self {
            objective: objective.unwrap_or(DEFAULT_PAUSE_OBJECTIVE),
            last_event: now,
        }
    }

    /// Learns that an event was passed on, at the moment when the caller had taken it.
    pub fn passed(&mut self, event: &StreamEvent, now: Duration) {
        if event.is_progress() {
            self.last_event = now;
        }
    }

    /// Returns how long no event came.
    pub fn pause(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_event)
    }

    /// Returns whether the stream should go on elsewhere. `doubted` tells whether its runner may
    /// have fallen silent.
    pub fn is_stalled(&self, now: Duration, may_be_unreachable: bool) -> bool {
        let limit = if may_be_unreachable {
            self.objective
        } else {
            self.objective.mul_f64(STALL_OBJECTIVES)
        };
        self.pause(now) > limit
    }
}
