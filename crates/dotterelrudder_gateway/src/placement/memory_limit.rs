//! The memory utilisation up to which a runner is sent a prompt.
//!
//! Load pattern: runners were lost while many sessions' prompts need a full prefill. Prefill slows
//! down the decoding of long responses, so these hold their memory several times as long, and short
//! prompts, which need little memory for a short time, wait behind long ones. While the memory of
//! all runners fills up, long prompts therefore leave room for short ones: a fifth to a quarter of
//! the memory, which is what short prompts hold at a time on the larger deployments. While other
//! runners have free memory, long prompts may fill a runner, so that no memory is reserved without
//! need.

use crate::Prompt;

/// The memory utilisation up to which a runner is sent prompts, from 0 to 1. The rest is left for
/// the growth of running responses and for requests that other entries send meanwhile.
pub(crate) const MAX_UTILISATION: f64 = 0.9;
/// The same for long prompts while all runners are under memory pressure. The difference is the
/// memory that eight short prompts per second and runner hold for most of a second.
const MAX_UTILISATION_LONG_PROMPTS: f64 = 0.65;
/// The mean memory utilisation below which there is no memory pressure.
const PRESSURE_FROM: f64 = 0.6;
/// The mean memory utilisation above which memory pressure is at its maximum.
const PRESSURE_FULL_FROM: f64 = 0.75;
/// The length in tokens up to which a prompt is short: its prefill takes about a tenth of a second.
pub(crate) const SHORT_PROMPT_TOKENS: u32 = 6_000;

/// Returns the memory utilisation, from 0 to 1, that a runner may reach with the prompt.
/// `mean_utilisation` is the mean of the service's open runners.
pub fn memory_limit(prompt: &Prompt, mean_utilisation: f64) -> f64 {
    if prompt.tokens <= SHORT_PROMPT_TOKENS {
        return MAX_UTILISATION;
    }
    MAX_UTILISATION
        - (MAX_UTILISATION - MAX_UTILISATION_LONG_PROMPTS) * memory_pressure(mean_utilisation)
}

/// Returns the memory pressure, from 0 to 1, for a mean memory utilisation.
pub(crate) fn memory_pressure(mean_utilisation: f64) -> f64 {
    ((mean_utilisation - PRESSURE_FROM) / (PRESSURE_FULL_FROM - PRESSURE_FROM)).clamp(0.0, 1.0)
}
