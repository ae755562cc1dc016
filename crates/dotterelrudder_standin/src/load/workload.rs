//! A workload from a file: flows of requests, open-loop, with conversations that return after gaps.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tokio::time::Instant;

use super::steady::make_prompt;
use super::Caller;
use super::Completion;
use super::Report;
use super::TierReport;

/// One flow of conversations.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// The tier, for the report.
    pub tier: String,
    /// The bearer key.
    pub key: String,
    /// The model.
    pub model: String,
    /// Conversations that begin in a second.
    pub rate: f64,
    /// Fewest and most tokens of the first prompt.
    pub prompt_tokens: [usize; 2],
    /// Fewest and most tokens of an answer.
    pub answer_tokens: [u32; 2],
    /// Times that a conversation returns.
    #[serde(default)]
    pub returns: u32,
    /// Shortest and longest gap before it returns, in seconds.
    #[serde(default)]
    pub gap_s: [f64; 2],
    /// Tokens of each further question.
    #[serde(default)]
    pub question_tokens: usize,
}

/// A whole workload.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Feeds arrivals and lengths.
    pub seed: u64,
    /// Seconds in which conversations begin.
    pub seconds: f64,
    /// Milliseconds between clients and entries, one way.
    pub client_delay_ms: f64,
    /// Milliseconds to the first token within which an answer counts as good.
    pub first_token_limit_ms: f64,
    /// The flows.
    #[serde(rename = "flow")]
    pub flows: Vec<Flow>,
}

struct Conversation {
    caller: Caller,
    flow: Flow,
    due: Instant,
    start: Instant,
    rng: ChaCha8Rng,
    delay: Duration,
    limit_ms: f64,
    salt: String,
    first: usize,
}

/// Sends the workload's requests and waits for all answers. The salt keeps the prompts of two runs
/// apart; everything else is alike.
pub async fn run_workload(
    workload: &Workload,
    entries: &[String],
    salt: &str,
) -> BTreeMap<String, TierReport> {
    let start = Instant::now() + Duration::from_millis(50);
    let mut tasks = Vec::new();
    for (number, flow) in workload.flows.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(workload.seed * 1_000 + number as u64);
        let mut caller = Caller::new(entries, &flow.key);
        caller.tries = 1;
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / flow.rate;
            if at >= workload.seconds {
                break;
            }
            let conversation = Conversation {
                caller: caller.clone(),
                flow: flow.clone(),
                due: start + Duration::from_secs_f64(at),
                start,
                rng: ChaCha8Rng::seed_from_u64(rng.random()),
                delay: Duration::from_secs_f64(workload.client_delay_ms / 1e3),
                limit_ms: workload.first_token_limit_ms,
                salt: salt.to_owned(),
                first: tasks.len(),
            };
            let tier = flow.tier.clone();
            tasks.push((tier, tokio::spawn(conversation.run())));
        }
    }
    let mut tiers: BTreeMap<String, TierReport> = BTreeMap::new();
    for (tier, task) in tasks {
        if let Ok(report) = task.await {
            tiers.entry(tier).or_default().merge(report);
        }
    }
    tiers
}

fn pick<T>(rng: &mut ChaCha8Rng, range: [T; 2]) -> T
where
    T: rand::distr::uniform::SampleUniform + PartialOrd + Copy,
{
    rng.random_range(range[0]..=range[1])
}

impl Conversation {
    async fn run(mut self) -> TierReport {
        let mut report = TierReport::default();
        let tokens = pick(&mut self.rng, self.flow.prompt_tokens);
        let mut prompt = format!("{:4.4}", self.salt);
        prompt.push_str(&make_prompt(&mut self.rng, tokens));
        for turn in 0..=self.flow.returns {
            tokio::time::sleep_until(self.due).await;
            let completion = Completion {
                model: self.flow.model.clone(),
                prompt: prompt.clone(),
                max_tokens: pick(&mut self.rng, self.flow.answer_tokens),
                stream: true,
            };
            let Some(text) = self.ask(&completion, turn, &mut report).await else {
                break;
            };
            prompt.push_str(&text);
            prompt.push_str(&make_prompt(&mut self.rng, self.flow.question_tokens));
            let gap = pick(&mut self.rng, self.flow.gap_s);
            self.due = Instant::now() + Duration::from_secs_f64(gap);
        }
        report
    }

    async fn ask(
        &self,
        completion: &Completion,
        turn: u32,
        report: &mut TierReport,
    ) -> Option<String> {
        let mut found = Report::default();
        tokio::time::sleep(self.delay).await;
        let first = self.first + turn as usize;
        let outcome = self.caller.complete(completion, first, &mut found).await;
        report.requests += 1;
        report.refused += found.refused;
        report.failed += found.failed.saturating_sub(found.refused);
        report.cut_off += found.cut_off;
        report.wrong_answers += found.wrong_answers;
        report.notes.extend(found.notes);
        let outcome = outcome?;
        report.answered += 1;
        // From when the request was due, so that a late sender doesn't hide waiting.
        let first_token = outcome.first_token_at?.duration_since(self.due.into_std());
        let ttft_ms = (first_token + self.delay).as_secs_f64() * 1e3;
        report.within_deadline += u64::from(ttft_ms <= self.limit_ms);
        report.ttft_ms.push(ttft_ms);
        report.due_s.push((self.due - self.start).as_secs_f64());
        report.gaps_ms.extend(&outcome.gaps_ms);
        if turn > 0 {
            report.returning_tokens += outcome.prompt_tokens;
            report.recomputed_tokens += outcome.prompt_tokens - outcome.cached_tokens;
        }
        Some(outcome.text)
    }
}
