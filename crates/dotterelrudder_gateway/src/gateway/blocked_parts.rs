//! Requests that crash runners: what the entry learns of them, and their refusal.

use super::Gateway;
use crate::RequestTraits;
use compact_str::format_compact;
use compact_str::CompactString;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_wire::PartBlock;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::PartVerdicts;
use std::time::Duration;

/// How long after the leader's last reply reports are still sent to it.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(3);

impl Gateway {
    /// Returns the refusal of a request that is blocked since it crashes runners, and counts it.
    pub fn block_refusal(&mut self, request: RequestTraits<'_>) -> Option<Refusal> {
        let block = self.part_watch.block_of(request)?;
        let ended = block.runners;
        let refusal = match (block.request(), request.prompt) {
            (None, Some(prompt)) => {
                let ids: Vec<&str> = block.parts.iter().map(|p| p.id.as_str()).collect();
                let (ids, model) = (ids.join("+"), &prompt.model);
                let detail = format_compact!(
                    "prompt part {ids} of model \"{model}\" crashes backend servers, {ended} ended"
                );
                Refusal::new(ErrorKind::PromptBlocked, detail)
            }
            (fingerprint, _) => {
                let fingerprint = fingerprint.unwrap_or_default();
                let detail =
                    format_compact!("request {fingerprint} crashes backend servers, {ended} ended");
                Refusal::new(ErrorKind::RequestBlocked, detail)
            }
        };
        self.part_watch.count_refusal(request);
        Some(refusal)
    }

    /// Returns whether a request is refused.
    pub fn is_blocked(&self, request: RequestTraits<'_>) -> bool {
        self.part_watch.block_of(request).is_some()
    }

    /// Returns whether so many runners ended under a request that it gets no further attempt.
    pub fn is_suspect(&self, now: Duration, request: RequestTraits<'_>) -> bool {
        self.part_watch.is_suspect(now, request)
    }

    /// Returns the numbers of blocked parts of prompts and of blocked requests.
    pub fn part_blocks(&self) -> (usize, usize) {
        self.part_watch.blocks()
    }

    /// Records that the answer to a request began, so that it doesn't crash runners.
    pub fn on_answer_begun(&mut self, now: Duration, request: RequestTraits<'_>) {
        self.part_watch.on_begun(now, request);
    }

    /// Records that a runner closed the connection of a request that had not begun. Returns whether
    /// the caller has to find out whether the runner ended, and to tell by
    /// [`Gateway::on_runner_probed`].
    pub fn on_connection_closed(
        &mut self,
        now: Duration,
        runner: &CompactString,
        sent_at: Duration,
        request: RequestTraits<'_>,
    ) -> bool {
        self.part_watch.on_closed(now, runner, sent_at, request)
    }

    /// Records whether a runner that had closed connections ended. Returns the requests that are
    /// refused from now on for what this entry saw alone.
    pub fn on_runner_probed(&mut self, runner: &CompactString, has_ended: bool) -> Vec<PartBlock> {
        self.part_watch.on_probed(runner, has_ended)
    }

    /// Applies the leader's verdicts. Returns the blocks that are new, and the number of those that
    /// ended.
    pub fn on_part_verdicts(
        &mut self,
        now: Duration,
        verdicts: &PartVerdicts,
    ) -> (Vec<PartBlock>, usize) {
        self.part_watch.on_verdicts(now, verdicts)
    }

    /// Returns whether the leader should hear of parts of prompts at once.
    pub fn is_part_report_due(&self) -> bool {
        self.part_watch.is_report_due()
    }

    /// Returns the next report about parts of prompts; none if there is nothing to report. Ends are
    /// kept for later while the leader doesn't answer.
    pub fn take_part_report(&mut self, now: Duration) -> Option<PartReport> {
        self.part_watch.expire(now);
        let age = self.confirmation_age(now);
        if age.is_none_or(|age| age > MAX_CONFIRMATION_AGE) {
            return None;
        }
        self.part_watch.take_report(now)
    }
}
