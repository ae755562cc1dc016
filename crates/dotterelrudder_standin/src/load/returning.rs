//! Conversations that return through another entry after their context was evicted.

use std::time::Duration;

use http::Request;
use http_body_util::Full;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::steady::make_prompt;
use super::Caller;
use super::Completion;
use super::Report;

/// How long an engine may take to drop its cache.
const EVICT_LIMIT: Duration = Duration::from_secs(2);

/// What to send.
#[derive(Debug, Clone)]
pub struct ReturningPlan {
    /// The model.
    pub model: String,
    /// Conversations.
    pub conversations: usize,
    /// Tokens of the first prompt.
    pub sheet_tokens: usize,
    /// Tokens of each answer.
    pub answer_tokens: u32,
    /// The engines' addresses, whose caches are dropped between the turns.
    pub engines: Vec<String>,
    /// Milliseconds for blocks to reach a store before that.
    pub settle_ms: u64,
    /// Feeds the prompts.
    pub seed: u64,
}

/// Runs both turns of each conversation.
pub async fn run_returning(caller: &Caller, plan: &ReturningPlan) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut report = Report::default();
    let mut second_turns = Vec::new();
    for _ in 0..plan.conversations {
        let first = Completion {
            model: plan.model.clone(),
            prompt: make_prompt(&mut rng, plan.sheet_tokens),
            max_tokens: plan.answer_tokens,
            stream: true,
        };
        let Some(outcome) = caller.complete(&first, 0, &mut report).await else {
            continue;
        };
        let question = make_prompt(&mut rng, 8);
        let prompt = format!("{}{}{question}", first.prompt, outcome.text);
        second_turns.push(Completion { prompt, ..first });
    }
    tokio::time::sleep(Duration::from_millis(plan.settle_ms)).await;
    evict(caller, plan, &mut report).await;
    for completion in second_turns {
        if let Some(outcome) = caller.complete(&completion, 1, &mut report).await {
            report.returning_tokens += outcome.prompt_tokens;
            report.recomputed_tokens += outcome.prompt_tokens - outcome.cached_tokens;
        }
    }
    report
}

async fn evict(caller: &Caller, plan: &ReturningPlan, report: &mut Report) {
    for engine in &plan.engines {
        let req = Request::post(format!("http://{engine}/evict")).body(Full::default());
        let evicted = match req {
            Ok(req) => caller
                .client
                .fetch(req, EVICT_LIMIT)
                .await
                .map_err(|e| e.detail),
            Err(e) => Err(e.to_string()),
        };
        if let Err(e) = evicted {
            report.note(format!("{engine} wasn't evicted: {e}"));
        }
    }
    // Events of the eviction reach the entries a little later.
    tokio::time::sleep(Duration::from_millis(plan.settle_ms / 2)).await;
}
