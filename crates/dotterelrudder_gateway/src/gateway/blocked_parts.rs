//! Requests with parts that crash runners: what the entry learns of them, and their refusal.

use super::Gateway;
use crate::Prompt;
use compact_str::format_compact;
use compact_str::CompactString;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_wire::PartBlock;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::PartVerdicts;
use std::time::Duration;

impl Gateway {
    /// Returns the refusal of a request whose prompt holds parts that crash runners, and counts it.
    pub fn block_refusal(&mut self, prompt: Option<&Prompt>) -> Option<Refusal> {
        let prompt = prompt?;
        let block = self.part_watch.block_of(prompt)?;
        let ids: Vec<&str> = block.parts.iter().map(|p| p.id.as_str()).collect();
        let detail = format_compact!(
            "prompt part {} of model \"{}\" crashes backend servers, {} ended",
            ids.join("+"),
            prompt.model,
            block.runners
        );
        self.part_watch.count_refusal(prompt);
        Some(Refusal::new(ErrorKind::PromptBlocked, detail))
    }

    /// Returns whether requests with this prompt are refused.
    pub fn is_blocked(&self, prompt: Option<&Prompt>) -> bool {
        prompt.is_some_and(|p| self.part_watch.block_of(p).is_some())
    }

    /// Returns the number of blocks of parts that crash runners.
    pub fn part_blocks(&self) -> usize {
        self.part_watch.blocks()
    }

    /// Records that the answer to a request began, so that its parts don't crash runners.
    pub fn on_answer_begun(&mut self, now: Duration, prompt: &Prompt) {
        self.part_watch.on_begun(now, prompt);
    }

    /// Records that a runner closed the connection of a request that had not begun. Returns whether
    /// the caller has to find out whether the runner ended, and to tell by
    /// [`Gateway::on_runner_probed`].
    pub fn on_connection_closed(
        &mut self,
        now: Duration,
        runner: &CompactString,
        sent_at: Duration,
        prompt: &Prompt,
    ) -> bool {
        self.part_watch.on_closed(now, runner, sent_at, prompt)
    }

    /// Records whether a runner that had closed connections ended.
    pub fn on_runner_probed(&mut self, runner: &CompactString, has_ended: bool) {
        self.part_watch.on_probed(runner, has_ended);
    }

    /// Applies the leader's verdicts on parts of prompts. Returns the blocks that are new, and the
    /// number of those that ended.
    pub fn on_part_verdicts(&mut self, verdicts: &PartVerdicts) -> (Vec<PartBlock>, usize) {
        self.part_watch.on_verdicts(verdicts)
    }

    /// Returns whether the leader should hear of parts of prompts at once.
    pub fn is_part_report_due(&self) -> bool {
        self.part_watch.is_report_due()
    }

    /// Returns the next report about parts of prompts; none if there is nothing to report.
    pub fn take_part_report(&mut self, now: Duration) -> Option<PartReport> {
        self.part_watch.take_report(now)
    }
}
