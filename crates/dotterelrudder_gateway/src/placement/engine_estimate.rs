//! Cost model of an inference engine with continuous batching and chunked prefill.
//!
//! Load pattern: prompts of very different sizes compete for runners whose batches and memory fill
//! up. The estimated time to the first token is the prefill time of the runner's backlog and of the
//! prompt itself, plus the time of some decoding steps, plus a penalty for likely preemption.

use std::time::Duration;

/// The speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineEstimate {
    /// Prefill rate in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// The time of a decoding step with an empty batch, in milliseconds.
    pub step_ms: f64,
    /// The time that each request in the batch adds to a step, in milliseconds.
    pub step_ms_per_request: f64,
}

/// The largest estimated time, in milliseconds.
const MAX_ESTIMATE_MS: f64 = 24.0 * 3_600.0 * 1_000.0;
/// Decoding steps until the first event reaches the caller; engines send several tokens in one
/// event.
const STEPS_TO_FIRST_EVENT: f64 = 5.0;
/// The memory utilisation, from 0 to 1, above which the engine preempts requests.
const PREEMPTION_UTILISATION: f64 = 0.92;
/// The time that a preempted request loses, in milliseconds: the prefill of a long prompt.
const PREEMPTION_MS: f64 = 400.0;

impl Default for EngineEstimate {
    /// The speed of the engines of the current deployments, as measured by their operators.
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 56.0,
            step_ms: 3.8,
            step_ms_per_request: 0.09,
        }
    }
}

impl EngineEstimate {
    /// Returns the estimated time to the first token.
    ///
    /// `backlog` is the number of prompt tokens queued before this request, `unread` the number of
    /// this request's tokens to prefill, `batch` the number of running requests, and `memory` the
    /// memory utilisation including this request, as a share of the total.
    pub fn first_token(&self, backlog: f64, unread: f64, batch: f64, memory: f64) -> Duration {
        let reading = (backlog + unread) / self.prefill_tokens_per_ms;
        let steps = STEPS_TO_FIRST_EVENT * (self.step_ms + self.step_ms_per_request * batch);
        let overcommit =
            ((memory - PREEMPTION_UTILISATION) / (1.0 - PREEMPTION_UTILISATION)).max(0.0);
        let ms = reading + steps + overcommit * PREEMPTION_MS;
        estimated_time(ms)
    }
}

/// Converts estimated milliseconds to a duration. Estimates are computed from numbers that runners
/// and callers name, so they may be out of range or no numbers.
pub(crate) fn estimated_time(ms: f64) -> Duration {
    let ms = if ms.is_nan() {
        MAX_ESTIMATE_MS
    } else {
        ms.clamp(0.0, MAX_ESTIMATE_MS)
    };
    Duration::from_secs_f64(ms / 1_000.0)
}
