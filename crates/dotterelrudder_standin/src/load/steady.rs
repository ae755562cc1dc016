//! Short requests at a steady rate, open-loop, so that slow answers don't thin out the load.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Caller;
use super::Completion;
use super::Report;

/// What to send.
#[derive(Debug, Clone)]
pub struct SteadyPlan {
    /// The model.
    pub model: String,
    /// Requests a second.
    pub rate: f64,
    /// Seconds to send for.
    pub seconds: f64,
    /// Tokens of a prompt at most.
    pub prompt_tokens: usize,
    /// Tokens of an answer at most.
    pub answer_tokens: u32,
    /// Feeds arrivals and lengths.
    pub seed: u64,
}

/// Makes a prompt of a number of tokens that no other seed makes.
pub(super) fn make_prompt(rng: &mut ChaCha8Rng, tokens: usize) -> String {
    let words = (0..tokens).map(|_| format!("{:03x} ", rng.random_range(0..0x1000)));
    words.collect()
}

/// Sends the plan's requests and waits for all answers.
pub async fn run_steady(caller: &Caller, plan: &SteadyPlan) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut tasks = Vec::new();
    let start = tokio::time::Instant::now();
    let mut at = 0.0;
    while at < plan.seconds {
        tokio::time::sleep_until(start + Duration::from_secs_f64(at)).await;
        let tokens = rng.random_range(1..=plan.prompt_tokens);
        let completion = Completion {
            model: plan.model.clone(),
            prompt: make_prompt(&mut rng, tokens),
            max_tokens: rng.random_range(1..=plan.answer_tokens),
            stream: rng.random_range(0..4) > 0,
        };
        let (caller, first) = (caller.clone(), tasks.len());
        tasks.push(tokio::spawn(async move {
            let mut report = Report::default();
            caller.complete(&completion, first, &mut report).await;
            report
        }));
        // Exponential gaps make the arrivals a Poisson process.
        at += -(1.0 - rng.random::<f64>()).ln() / plan.rate;
    }
    let mut whole = Report::default();
    for task in tasks {
        match task.await {
            Ok(report) => whole.merge(report),
            Err(e) => whole.note(e.to_string()),
        }
    }
    whole
}
