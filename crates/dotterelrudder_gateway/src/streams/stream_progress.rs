//! Stall detection: when a resumable stream fails over to another runner although its connection is
//! open.
//!
//! Load pattern: a runner loses power, freezes or hangs while it sends responses. Its connections
//! stay open without data, or with bytes that never form an event. Callers disconnect after a pause
//! of two seconds or more. Slow but working streams must continue: a pause only counts as a stall
//! when it is several times as long as the objective, and only events count as progress.

use std::time::Duration;

use crate::StreamEvent;

/// The pause objective of a route that does not set one.
const DEFAULT_PAUSE_OBJECTIVE: Duration = Duration::from_millis(500);
/// The pause, as a multiple of the objective, after which a stream is stalled although its runner
/// is not suspected. Callers disconnect after eight objectives.
const STALL_OBJECTIVES: f64 = 5.0;

/// The time of the last progress of a caller's stream.
#[derive(Debug)]
pub struct StreamProgress {
    objective: Duration,
    last_event: Duration,
}

impl StreamProgress {
    /// Starts with the first chunk of the response. `objective` is the route's objective for
    /// pauses.
    pub fn new(objective: Option<Duration>, now: Duration) -> Self {
        Self {
            objective: objective.unwrap_or(DEFAULT_PAUSE_OBJECTIVE),
            last_event: now,
        }
    }

    /// Records an event that was forwarded, at the time when the caller had accepted it.
    pub fn passed(&mut self, event: &StreamEvent, now: Duration) {
        if event.is_progress() {
            self.last_event = now;
        }
    }

    /// Returns the time since the last event.
    pub fn pause(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_event)
    }

    /// Returns whether the stream should fail over. If its runner may be unreachable, the limit is
    /// one objective.
    pub fn is_stalled(&self, now: Duration, may_be_unreachable: bool) -> bool {
        let limit = if may_be_unreachable {
            self.objective
        } else {
            self.objective.mul_f64(STALL_OBJECTIVES)
        };
        self.pause(now) > limit
    }
}
