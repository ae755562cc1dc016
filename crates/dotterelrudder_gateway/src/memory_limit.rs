//! How full a runner's memory may be for a prompt to be sent to it.
//!
//! Load pattern: runners were lost while sessions are read for the first time. Reading slows down
//! the long answers that are written meanwhile, these keep their memory several times as long, and
//! short prompts, which need little room for a moment, wait behind long ones. While memories fill
//! up everywhere, long prompts leave room for short ones: what short prompts hold at a time on the
//! larger deployments, a fifth to a quarter. While the other memories are emptier, long prompts may
//! fill one, so that nothing is held free for nobody.

use crate::Prompt;

/// The share of a runner's memory up to which prompts are sent to it; their answers still grow,
/// and other entries send as well.
const MAX_UTILISATION: f64 = 0.9;
/// The same for long prompts while memories are full everywhere: the room that is left is what
/// eight short prompts a second and runner hold for the better part of a second.
const MAX_UTILISATION_LONG_PROMPTS: f64 = 0.65;
/// The mean share in use below which memories count as empty.
const PRESSURE_FROM: f64 = 0.6;
/// The mean share in use above which memories count as full everywhere.
const PRESSURE_FULL_FROM: f64 = 0.75;
/// Prompts up to this length are short: a runner reads them within about a tenth of a second.
pub(crate) const SHORT_PROMPT_TOKENS: u32 = 6_000;

/// Returns the share of a runner's memory that may be in use with a prompt in it. `fill` is the
/// mean share in use at the open runners.
pub fn memory_limit(prompt: &Prompt, mean_utilisation: f64) -> f64 {
    if prompt.tokens <= SHORT_PROMPT_TOKENS {
        return MAX_UTILISATION;
    }
    MAX_UTILISATION
        - (MAX_UTILISATION - MAX_UTILISATION_LONG_PROMPTS) * memory_pressure(mean_utilisation)
}

/// Returns how full memories are everywhere, from 0 for empty to 1, by the mean share in use.
pub(crate) fn memory_pressure(mean_utilisation: f64) -> f64 {
    ((mean_utilisation - PRESSURE_FROM) / (PRESSURE_FULL_FROM - PRESSURE_FROM)).clamp(0.0, 1.0)
}
