//! The expected time to first token at one runner.

use dotterelrudder_config::Objective;
use dotterelrudder_types::Tier;
use dotterelrudder_types::BLOCK_TOKENS;

use crate::RoutingPolicy;
use crate::RunnerView;

/// Seconds that an import takes beside the transfer itself.
const IMPORT_DELAY_SECONDS: f64 = 0.004;
/// The prefill rate assumed of an engine that reported none, in tokens a second.
const FALLBACK_PREFILL_RATE: f64 = 10_000.0;
/// Seconds expected of a runner that takes no work while it loads weights.
const CLOSED_SECONDS: f64 = 1.0;

/// What is known of a prompt at one runner.
#[derive(Debug, Clone, Copy)]
pub struct PromptFacts {
    /// Tokens of the prompt.
    pub tokens: usize,
    /// Whole blocks at its beginning that the runner holds.
    pub cached_blocks: usize,
    /// Whole blocks after those that stores hold.
    pub stored_blocks: usize,
    /// The tier of the client account.
    pub tier: Tier,
}

/// What a request is expected to cost at one runner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Seconds until the first token.
    pub first_token_seconds: f64,
    /// The weighed cost, by which runners are compared.
    pub cost: f64,
    /// Blocks worth importing.
    pub import_blocks: usize,
    /// Tokens left to prefill.
    pub prefill_tokens: u32,
}

/// Estimates a request's cost at one runner and chooses between recompute and import there.
pub fn estimate(
    runner: &RunnerView,
    facts: PromptFacts,
    objective: Objective,
    policy: RoutingPolicy,
) -> Estimate {
    let load = &runner.load;
    let rate = if load.prefill_rate > 0.0 {
        load.prefill_rate
    } else {
        FALLBACK_PREFILL_RATE
    };
    let cached = facts.cached_blocks * BLOCK_TOKENS;
    let uncached = facts.tokens.saturating_sub(cached) as f64;
    let stored = (facts.stored_blocks * BLOCK_TOKENS) as f64;
    let bytes = facts.stored_blocks as f64 * f64::from(load.block_bytes);
    let link_seconds = bytes / load.import_rate.max(1.0);
    let recompute = uncached / rate;
    let left_after_import = (uncached - stored).max(0.0) / rate;
    let import = IMPORT_DELAY_SECONDS + link_seconds + left_after_import;
    let weigh = |wait: f64, recomputed: f64, link: f64| {
        let first_token = objective.first_token * wait;
        first_token + objective.recompute * recomputed + objective.link * link
    };
    let import_cost = weigh(import, left_after_import, link_seconds);
    let recompute_cost = weigh(recompute, recompute, 0.0);
    let worth_it = match policy {
        RoutingPolicy::AlwaysImport => true,
        RoutingPolicy::AlwaysRecompute | RoutingPolicy::RoundRobin | RoutingPolicy::LeastLoaded => {
            false
        }
        RoutingPolicy::ExpectedCost | RoutingPolicy::HashAffinity => import_cost < recompute_cost,
    };
    let wait = queue_seconds(runner, facts.tier) + prefill_seconds(runner, facts.tier, rate);
    let (seconds, cost, import_blocks, left) = if worth_it && facts.stored_blocks > 0 {
        (
            import,
            import_cost,
            facts.stored_blocks,
            (uncached - stored).max(0.0),
        )
    } else {
        (recompute, recompute_cost, 0, uncached)
    };
    Estimate {
        first_token_seconds: wait + seconds,
        cost: objective.first_token * wait + cost,
        import_blocks,
        prefill_tokens: left as u32,
    }
}

/// Estimates the wait for prompts that the engine prefills first, one after the other.
fn prefill_seconds(runner: &RunnerView, tier: Tier, rate: f64) -> f64 {
    let load = &runner.load;
    let ahead = match tier {
        Tier::Paying => load.prefill_paying,
        Tier::Trial => load.prefill_paying + load.prefill_trial,
    };
    f64::from(ahead + runner.own_prefill) / rate
}

/// Estimates the wait for a slot from the reported load and the calls made since.
fn queue_seconds(runner: &RunnerView, tier: Tier) -> f64 {
    let load = &runner.load;
    let closed = if load.open { 0.0 } else { CLOSED_SECONDS };
    let slots = load.slots.max(1);
    let (running, waiting) = match tier {
        // Running trial work gives way, so that only paying work is ahead.
        Tier::Paying => (
            load.running.saturating_sub(load.running_trial),
            load.waiting_paying,
        ),
        Tier::Trial => (load.running, load.waiting_paying + load.waiting_trial),
    };
    let ahead = running + waiting + runner.own_calls;
    let over = f64::from((ahead + 1).saturating_sub(slots));
    // A batch shares the engine, so that a fuller one answers a little later.
    let share = f64::from(ahead.min(slots)) / f64::from(slots);
    closed + over / f64::from(slots) * load.hold_seconds + share * 1e-3
}
