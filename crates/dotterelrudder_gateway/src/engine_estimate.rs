//! The model of a runner that batches continuously and reads prompts in pieces.
//!
//! Load pattern: prompts of very different sizes meet at runners whose batches and memory fill
//! up. The time to the first token is what the runner has to read before, plus what it has to
//! read of this prompt, plus the steps of a batch.

use std::time::Duration;

/// What an engine is expected to need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineEstimate {
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds of a step with an empty batch.
    pub step_ms: f64,
    /// Milliseconds that each request of the batch adds to a step.
    pub step_ms_per_request: f64,
}

/// Steps until a first event reaches the caller; engines send several tokens at once.
const STEPS_TO_FIRST_EVENT: f64 = 5.0;
/// The share of the memory beyond which requests are preempted.
const PREEMPTION_UTILISATION: f64 = 0.92;
/// Milliseconds that a preempted request loses: reading a long prompt in again.
const PREEMPTION_MS: f64 = 400.0;

impl Default for EngineEstimate {
    /// The engines of today's deployments, as their operators measured them.
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 56.0,
            step_ms: 3.8,
            step_ms_per_request: 0.09,
        }
    }
}

impl EngineEstimate {
    /// Returns the expected time to the first token.
    ///
    /// `backlog` and `unread` are prompt tokens to read before and of this request, `batch` the
    /// requests that run, `memory` the share of the memory in use with this request in it.
    pub fn first_token(&self, backlog: f64, unread: f64, batch: f64, memory: f64) -> Duration {
        let reading = (backlog + unread) / self.prefill_tokens_per_ms;
        let steps = STEPS_TO_FIRST_EVENT * (self.step_ms + self.step_ms_per_request * batch);
        let overcommit =
            ((memory - PREEMPTION_UTILISATION) / (1.0 - PREEMPTION_UTILISATION)).max(0.0);
        let ms = reading + steps + overcommit * PREEMPTION_MS;
        Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
    }
}
