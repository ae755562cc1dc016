//! Estimates of the time to first token and the cost of a request on one runner, and the choice
//! between importing its stored KV cache blocks and recomputing them.

use dotterelrudder_config::Objective;
use dotterelrudder_types::Tier;
use dotterelrudder_types::BLOCK_TOKENS;

use crate::RoutingPolicy;
use crate::RunnerState;

/// The overhead of an import in seconds, on top of the transfer itself.
const IMPORT_OVERHEAD_SECONDS: f64 = 0.004;
/// The prefill rate assumed for an engine that has not reported one.
const FALLBACK_PREFILL_TOKENS_PER_SECOND: f64 = 10_000.0;
/// The wait in seconds assumed for a runner that takes no work while it loads weights.
const CLOSED_RUNNER_PENALTY_SECONDS: f64 = 1.0;

/// The properties of a request that its cost on one runner depends on.
#[derive(Debug, Clone, Copy)]
pub struct CostInputs {
    /// Tokens of the prompt, including what earlier attempts generated.
    pub tokens: usize,
    /// Full blocks at the beginning of the prompt that the runner has in its KV cache.
    pub cached_blocks: usize,
    /// Full blocks that follow the cached ones and are held by stores.
    pub stored_blocks: usize,
    /// The tier of the client account, which decides what is ahead in the queue.
    pub tier: Tier,
}

/// The estimated cost of a request on one runner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostEstimate {
    /// The estimated time to first token, in seconds.
    pub first_token_seconds: f64,
    /// The cost by which runners are compared, weighted by the objective of the service.
    pub cost: f64,
    /// Blocks to import; 0 if recomputing them costs less or the policy forbids imports.
    pub import_blocks: usize,
    /// Tokens that the engine has to prefill.
    pub prefill_tokens: u32,
}

/// Estimates the cost of a request on one runner, choosing between recompute and import.
pub fn estimate_cost(
    runner: &RunnerState,
    inputs: CostInputs,
    objective: Objective,
    policy: RoutingPolicy,
) -> CostEstimate {
    let load = &runner.load;
    let prefill_rate = if load.prefill_rate > 0.0 {
        load.prefill_rate
    } else {
        FALLBACK_PREFILL_TOKENS_PER_SECOND
    };
    let cached_tokens = inputs.cached_blocks * BLOCK_TOKENS;
    let uncached_tokens = inputs.tokens.saturating_sub(cached_tokens) as f64;
    let stored_tokens = (inputs.stored_blocks * BLOCK_TOKENS) as f64;
    let import_bytes = inputs.stored_blocks as f64 * f64::from(load.block_bytes);
    let transfer_seconds = import_bytes / load.import_rate.max(1.0);
    let recompute_seconds = uncached_tokens / prefill_rate;
    let prefill_after_import_seconds = (uncached_tokens - stored_tokens).max(0.0) / prefill_rate;
    let import_seconds = IMPORT_OVERHEAD_SECONDS + transfer_seconds + prefill_after_import_seconds;
    let weighted_cost = |first_token_seconds: f64, recomputed_seconds: f64, link_seconds: f64| {
        let first_token_cost = objective.first_token * first_token_seconds;
        first_token_cost + objective.recompute * recomputed_seconds + objective.link * link_seconds
    };
    let import_cost = weighted_cost(
        import_seconds,
        prefill_after_import_seconds,
        transfer_seconds,
    );
    let recompute_cost = weighted_cost(recompute_seconds, recompute_seconds, 0.0);
    let prefer_import = match policy {
        RoutingPolicy::AlwaysImport => true,
        RoutingPolicy::AlwaysRecompute | RoutingPolicy::RoundRobin | RoutingPolicy::LeastLoaded => {
            false
        }
        RoutingPolicy::ExpectedCost | RoutingPolicy::HashAffinity => import_cost < recompute_cost,
    };
    let wait_seconds = slot_wait_seconds(runner, inputs.tier)
        + prefill_wait_seconds(runner, inputs.tier, prefill_rate);
    let (seconds, cost, import_blocks, prefill_tokens) =
        if prefer_import && inputs.stored_blocks > 0 {
            (
                import_seconds,
                import_cost,
                inputs.stored_blocks,
                (uncached_tokens - stored_tokens).max(0.0),
            )
        } else {
            (recompute_seconds, recompute_cost, 0, uncached_tokens)
        };
    CostEstimate {
        first_token_seconds: wait_seconds + seconds,
        cost: objective.first_token * wait_seconds + cost,
        import_blocks,
        prefill_tokens: prefill_tokens as u32,
    }
}

/// Estimates the wait, in seconds, for the prompts that the engine prefills first, one at a time.
fn prefill_wait_seconds(runner: &RunnerState, tier: Tier, prefill_rate: f64) -> f64 {
    let load = &runner.load;
    let tokens_ahead = match tier {
        Tier::Paying => load.prefill_paying,
        Tier::Trial => load.prefill_paying + load.prefill_trial,
    };
    f64::from(tokens_ahead + runner.prefill_tokens_since_report) / prefill_rate
}

/// Estimates the wait for a slot, in seconds, from the last load report and the attempts started
/// since then.
fn slot_wait_seconds(runner: &RunnerState, tier: Tier) -> f64 {
    let load = &runner.load;
    let closed_penalty = if load.open {
        0.0
    } else {
        CLOSED_RUNNER_PENALTY_SECONDS
    };
    let slots = load.slots.max(1);
    let (running, waiting) = match tier {
        // Paying work displaces running trial work, so that only other paying work is ahead of it.
        Tier::Paying => (
            load.running.saturating_sub(load.running_trial),
            load.waiting_paying,
        ),
        Tier::Trial => (load.running, load.waiting_paying + load.waiting_trial),
    };
    let attempts_ahead = running + waiting + runner.attempts_since_report;
    let excess_attempts = f64::from((attempts_ahead + 1).saturating_sub(slots));
    // The attempts of a batch share the engine, so that a fuller batch answers slightly later: by
    // up to 1 ms.
    let batch_fill = f64::from(attempts_ahead.min(slots)) / f64::from(slots);
    closed_penalty + excess_attempts / f64::from(slots) * load.hold_seconds + batch_fill * 1e-3
}
