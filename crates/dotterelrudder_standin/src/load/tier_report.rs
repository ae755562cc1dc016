//! What a workload found for one tier.

use serde::Deserialize;
use serde::Serialize;

use super::Report;

/// Counts and times of one tier in one run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TierReport {
    /// Requests that were due.
    pub requests: u64,
    /// Whole answers.
    pub answered: u64,
    /// Answers whose first token came within the workload's limit.
    pub within_deadline: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that failed otherwise.
    pub failed: u64,
    /// Answers that began and didn't end.
    pub cut_off: u64,
    /// Answers that weren't the pure function of their request.
    pub wrong_answers: u64,
    /// Prompt tokens of returning prompts.
    pub returning_tokens: u64,
    /// Of those, tokens that were recomputed.
    pub recomputed_tokens: u64,
    /// Milliseconds from when each request was due to its first token.
    pub ttft_ms: Vec<f64>,
    /// Milliseconds of each pause between two tokens.
    pub gaps_ms: Vec<f64>,
    /// Seconds after the start at which each request was due, beside `ttft_ms`.
    pub due_s: Vec<f64>,
    /// What went wrong, the first few.
    pub notes: Vec<String>,
}

impl TierReport {
    /// Adds another report.
    pub fn merge(&mut self, other: Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.within_deadline += other.within_deadline;
        self.refused += other.refused;
        self.failed += other.failed;
        self.cut_off += other.cut_off;
        self.wrong_answers += other.wrong_answers;
        self.returning_tokens += other.returning_tokens;
        self.recomputed_tokens += other.recomputed_tokens;
        self.ttft_ms.extend(other.ttft_ms);
        self.gaps_ms.extend(other.gaps_ms);
        self.due_s.extend(other.due_s);
        self.notes.extend(other.notes);
        self.notes.truncate(10);
    }

    /// Describes the report in a line.
    pub fn line(&self) -> String {
        let ttft = |percent| Report::percentile(&self.ttft_ms, percent);
        format!(
            "{} due, {} answered, {} wrong, {} cut off, {} refused, {} failed, first token {:.0} / {:.0} ms, recomputed {:.3}",
            self.requests,
            self.answered,
            self.wrong_answers,
            self.cut_off,
            self.refused,
            self.failed,
            ttft(50.0),
            ttft(95.0),
            self.recomputed_tokens as f64 / self.returning_tokens.max(1) as f64,
        )
    }
}
