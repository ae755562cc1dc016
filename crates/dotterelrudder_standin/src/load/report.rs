//! What a run found.

use serde::Deserialize;
use serde::Serialize;

/// Counts and times of one run; runs are merged into one line.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Requests that were sent, retries not counted.
    pub requests: u64,
    /// Answers that weren't the pure function of their request.
    pub wrong_answers: u64,
    /// Answers that began and didn't end, and requests whose connection broke.
    pub cut_off: u64,
    /// Refusals told as not run, which were retried.
    pub refused: u64,
    /// Requests that got no answer after all retries.
    pub failed: u64,
    /// Requests that may not be repeated and ran more than once.
    pub ran_twice: u64,
    /// Prompt tokens of returning prompts.
    pub returning_tokens: u64,
    /// Prompt tokens of returning prompts that were recomputed.
    pub recomputed_tokens: u64,
    /// Milliseconds to the first token, of each streamed answer.
    pub ttft_ms: Vec<f64>,
    /// Milliseconds of the longest pause between two tokens, of each streamed answer.
    pub gap_ms: Vec<f64>,
    /// What went wrong, a line each, the first ones only.
    pub notes: Vec<String>,
}

/// The longest time that a percentile can tell, in microseconds.
const MAX_MICROSECONDS: u64 = 3_600_000_000;
/// Notes kept at most.
const MAX_NOTES: usize = 20;

impl Report {
    /// Adds a line about something that went wrong.
    pub fn note<T>(&mut self, text: T)
    where
        T: Into<String>,
    {
        if self.notes.len() < MAX_NOTES {
            self.notes.push(text.into());
        }
    }

    /// Adds another run's findings.
    pub fn merge(&mut self, other: Self) {
        self.requests += other.requests;
        self.wrong_answers += other.wrong_answers;
        self.cut_off += other.cut_off;
        self.refused += other.refused;
        self.failed += other.failed;
        self.ran_twice += other.ran_twice;
        self.returning_tokens += other.returning_tokens;
        self.recomputed_tokens += other.recomputed_tokens;
        self.ttft_ms.extend(other.ttft_ms);
        self.gap_ms.extend(other.gap_ms);
        other.notes.into_iter().for_each(|note| self.note(note));
    }

    /// Returns the share of returning prompts that was recomputed.
    pub fn recomputed_share(&self) -> f64 {
        self.recomputed_tokens as f64 / (self.returning_tokens.max(1)) as f64
    }

    /// Returns a percentile of some times, from an HDR histogram in microseconds.
    pub fn percentile(times_ms: &[f64], percent: f64) -> f64 {
        let Ok(mut histogram) =
            hdrhistogram::Histogram::<u64>::new_with_bounds(1, MAX_MICROSECONDS, 3)
        else {
            return 0.0;
        };
        for ms in times_ms {
            histogram.saturating_record((ms * 1e3) as u64);
        }
        histogram.value_at_percentile(percent) as f64 / 1e3
    }
}
