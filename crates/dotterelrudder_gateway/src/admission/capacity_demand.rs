//! What a request needs of the runners, and until when its caller has use for it.

use std::time::Duration;

use dotterelrudder_types::ServiceName;

use crate::placement::estimated_time;
use crate::EngineEstimate;
use crate::Prompt;

/// The share of a request's time, from 0 to 1, that is kept for its response at most. An estimated
/// response time must not leave a request without any time to wait.
const MAX_RESPONSE_SHARE: f64 = 0.5;
/// How many times slower than an idle one an engine decodes under load. Steps take several times
/// as long while prompts are prefilled.
const LOADED_SLOWDOWN: f64 = 2.0;
/// The time after which a request can no longer meet its objective, as a share of the objective from 0
/// to 1. The rest is the time that runners take to the first chunk.
const DUE_OBJECTIVES: f64 = 0.7;
/// The time within which a refusal costs a caller nothing, as a share of the objective from 0 to 1.
const FREE_REFUSAL_OBJECTIVES: f64 = 0.125;
/// The decoding steps of the shortest response; engines send several tokens in one event.
const MIN_STEPS: f64 = 5.0;
/// The work of a request without a prompt: one slot of its runner for a second. Only its relation to
/// others of its service matters, and these have no prompt either.
const PLAIN_WORK: f64 = 1.0;

/// The capacity that a request needs, and its value to its caller over time.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityDemand {
    /// The service that the request was admitted to.
    pub service: ServiceName,
    /// The client account; empty for callers without one.
    pub account: String,
    /// The priority, 0 being the most urgent.
    pub urgency: u8,
    /// The work that the request makes, in tokens of memory x seconds.
    pub work: f64,
    /// When the request arrived, or first arrived if its caller was refused before.
    pub arrived: Duration,
    /// When the current attempt to get capacity began.
    pub since: Duration,
    /// The objective for the time to the first chunk.
    pub objective: Duration,
    /// The latest time at which the request can be sent to a runner and still be of use.
    pub latest_start: Duration,
}

impl CapacityDemand {
    /// Returns the work of a request: the memory that it needs times its time at a runner, in tokens x
    /// seconds.
    pub fn work_of(engine: &EngineEstimate, prompt: Option<&Prompt>) -> f64 {
        prompt.map_or(PLAIN_WORK, |p| {
            p.peak_tokens() as f64 * response_time(engine, p).as_secs_f64()
        })
    }

    /// Returns the latest time at which a request that waits since `since` can be sent to a runner, so
    /// that its response is complete by the caller's deadline.
    pub fn latest_start(
        engine: &EngineEstimate,
        prompt: Option<&Prompt>,
        since: Duration,
        deadline: Duration,
    ) -> Duration {
        let response = prompt.map_or(Duration::ZERO, |p| response_time(engine, p));
        let most = deadline.saturating_sub(since).mul_f64(MAX_RESPONSE_SHARE);
        deadline.saturating_sub(response.min(most))
    }

    /// Returns the share of the time in which the request can be served that has passed, from 0 to 1.
    pub(crate) fn age(&self, now: Duration) -> f64 {
        let whole = self.latest_start.saturating_sub(self.arrived);
        let passed = now.saturating_sub(self.arrived);
        if whole.is_zero() {
            return 1.0;
        }
        passed.div_duration_f64(whole).min(1.0)
    }

    /// Returns whether the request can no longer meet its objective for the first chunk.
    pub(crate) fn is_late(&self, now: Duration) -> bool {
        now > self.arrived + self.objective.mul_f64(DUE_OBJECTIVES)
    }

    /// Returns whether a refusal now costs the caller nothing.
    pub(crate) fn is_new(&self, now: Duration) -> bool {
        now <= self.since + self.objective.mul_f64(FREE_REFUSAL_OBJECTIVES)
    }

    /// Returns whether the caller was refused before and came back.
    pub(crate) fn is_returning(&self) -> bool {
        self.arrived < self.since
    }
}

/// Estimates the time from the first to the last byte that a loaded runner needs for a prompt.
fn response_time(engine: &EngineEstimate, prompt: &Prompt) -> Duration {
    let steps = f64::from(prompt.max_output_tokens) + MIN_STEPS;
    let decoding = steps * engine.step_ms * LOADED_SLOWDOWN;
    let prefill = f64::from(prompt.tokens) / engine.prefill_tokens_per_ms;
    estimated_time(decoding + prefill)
}
