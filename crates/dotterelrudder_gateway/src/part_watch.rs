//! Parts of prompts that may crash runners, as one entry knows them.
//!
//! Load pattern: requests with one part come at any entry, and each runner that begins to answer one
//! ends, with all other requests there. No entry sees enough ends by itself, so that the entries
//! report to the leader which requests had not begun when a runner ended, and the leader blocks the
//! part that all of them have in common. See docs/design/crashing-parts.md.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_wire::PartBlock;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::PartVerdicts;
use dotterelrudder_wire::RunnerLoss;
use dotterelrudder_wire::SharedPart;
use dotterelrudder_wire::MAX_LOST_REQUESTS;

use crate::Prompt;

/// The interval at which held blocks are reported without a change, so that a new leader learns
/// them.
pub const PART_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long it counts that a request with a part began.
const BEGUN_TTL: Duration = Duration::from_secs(30);
/// The largest number of parts for which that is remembered; above it, older ones are removed.
const MAX_BEGUN: usize = 16_384;
/// The largest number of losses between two reports.
const MAX_LOSSES: usize = 64;

/// The requests whose connections one runner closed, until it is known whether the runner ended.
#[derive(Debug)]
struct ClosedConnections {
    sent_at: Duration,
    closed_at: Duration,
    requests: Vec<Vec<SharedPart>>,
}

/// A block and the requests that it refused since the last report.
#[derive(Debug)]
struct HeldBlock {
    block: PartBlock,
    refused: u32,
}

/// What an entry knows of parts that may crash runners.
#[derive(Debug, Default)]
pub struct PartWatch {
    /// When an answer to a request with a part last began here.
    begun: HashMap<SharedPart, Duration>,
    /// Runners that closed connections, by their identity.
    closed: HashMap<CompactString, ClosedConnections>,
    /// Runners that ended, for the next report.
    losses: Vec<(CompactString, ClosedConnections)>,
    watched: BTreeSet<SharedPart>,
    /// Watched parts for the next report.
    begun_due: BTreeSet<SharedPart>,
    blocks: Vec<HeldBlock>,
    reported_at: Duration,
}

/// Returns the shared parts of a prompt.
fn shared_parts(prompt: &Prompt) -> impl Iterator<Item = SharedPart> + '_ {
    prompt.shared_parts().iter().map(|part| SharedPart {
        model: prompt.model.clone(),
        id: part.id.clone(),
    })
}

/// Returns whether a prompt holds all parts of a block.
fn covers(block: &PartBlock, prompt: &Prompt) -> bool {
    let holds = |part: &SharedPart| {
        part.model == prompt.model && prompt.shared_parts().iter().any(|p| p.id == part.id)
    };
    block.parts.iter().all(holds)
}

impl PartWatch {
    /// Returns the block that applies to a prompt.
    pub fn block_of(&self, prompt: &Prompt) -> Option<&PartBlock> {
        let held = self.blocks.iter().find(|h| covers(&h.block, prompt))?;
        Some(&held.block)
    }

    /// Counts a request that a block refused.
    pub fn count_refusal(&mut self, prompt: &Prompt) {
        if let Some(held) = self.blocks.iter_mut().find(|h| covers(&h.block, prompt)) {
            held.refused += 1;
        }
    }

    /// Returns the number of blocks.
    pub fn blocks(&self) -> usize {
        self.blocks.len()
    }

    /// Records that the answer to a request began.
    pub fn on_begun(&mut self, now: Duration, prompt: &Prompt) {
        for part in shared_parts(prompt) {
            if self.watched.contains(&part) {
                self.begun_due.insert(part.clone());
            }
            self.begun.insert(part, now);
        }
        if self.begun.len() > MAX_BEGUN {
            self.begun.retain(|_, at| now < *at + BEGUN_TTL);
        }
        if self.begun.len() > MAX_BEGUN {
            self.begun.clear();
        }
    }

    /// Records that a runner closed the connection of a request that had not begun. Returns whether
    /// it is the first such request, so that the caller has to find out whether the runner ended.
    pub fn on_closed(
        &mut self,
        now: Duration,
        runner: &CompactString,
        sent_at: Duration,
        prompt: &Prompt,
    ) -> bool {
        let is_first = !self.closed.contains_key(runner);
        let closed = self
            .closed
            .entry(runner.clone())
            .or_insert(ClosedConnections {
                sent_at,
                closed_at: now,
                requests: Vec::new(),
            });
        closed.sent_at = closed.sent_at.min(sent_at);
        if closed.requests.len() < MAX_LOST_REQUESTS {
            closed.requests.push(shared_parts(prompt).collect());
        }
        is_first
    }

    /// Records whether a runner ended that had closed connections.
    pub fn on_probed(&mut self, runner: &CompactString, has_ended: bool) {
        let closed = self.closed.remove(runner).filter(|_| has_ended);
        if let Some(closed) = closed.filter(|_| self.losses.len() < MAX_LOSSES) {
            self.losses.push((runner.clone(), closed));
        }
    }

    /// Applies verdicts of the leader. Returns the blocks that are new, and the number of those that
    /// ended.
    pub fn on_verdicts(&mut self, verdicts: &PartVerdicts) -> (Vec<PartBlock>, usize) {
        let listed = |parts: &[SharedPart]| verdicts.blocks.iter().any(|b| b.parts == parts);
        let before = self.blocks.len();
        if verdicts.is_complete {
            self.blocks.retain(|h| listed(&h.block.parts));
        }
        let ended = before - self.blocks.len();
        let held: Vec<&[SharedPart]> = self.blocks.iter().map(|h| &h.block.parts[..]).collect();
        let new = verdicts
            .blocks
            .iter()
            .filter(|b| !held.contains(&&b.parts[..]));
        let new: Vec<PartBlock> = new.cloned().collect();
        self.blocks.extend(new.iter().map(|block| HeldBlock {
            block: block.clone(),
            refused: 0,
        }));
        for part in &verdicts.watched {
            if !self.watched.contains(part) && self.begun.contains_key(part) {
                self.begun_due.insert(part.clone());
            }
        }
        self.watched = verdicts.watched.iter().cloned().collect();
        (new, ended)
    }

    /// Returns whether the leader should hear of something at once.
    pub fn is_report_due(&self) -> bool {
        !self.losses.is_empty() || !self.begun_due.is_empty()
    }

    /// Returns the next report; none if there is nothing to report.
    pub fn take_report(&mut self, now: Duration) -> Option<PartReport> {
        let repeats = !self.blocks.is_empty() && now >= self.reported_at + PART_REPORT_INTERVAL;
        if !self.is_report_due() && !repeats {
            return None;
        }
        self.reported_at = now;
        let losses = self.losses.drain(..).map(|(runner, closed)| RunnerLoss {
            runner,
            sent_ago: now.saturating_sub(closed.sent_at),
            lost_ago: now.saturating_sub(closed.closed_at),
            requests: closed.requests,
        });
        let losses = losses.collect();
        let begun = std::mem::take(&mut self.begun_due).into_iter();
        let begun = begun.filter_map(|part| {
            let ago = now.saturating_sub(*self.begun.get(&part)?);
            (ago < BEGUN_TTL).then_some((part, ago))
        });
        let begun = begun.collect();
        let held = self.blocks.iter_mut().map(|h| {
            let refused = std::mem::take(&mut h.refused);
            (h.block.parts.clone(), refused)
        });
        Some(PartReport {
            losses,
            begun,
            held: held.collect(),
        })
    }
}
