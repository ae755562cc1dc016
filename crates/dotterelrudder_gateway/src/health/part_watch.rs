//! Requests that may crash runners, as one entry knows them.
//!
//! Load pattern: requests with one part in their prompts, or one request again and again, come at any
//! entry, and each runner that begins to answer one ends, with all other requests there. No entry sees
//! enough ends by itself, so that the entries report to the leader which requests had not begun when a
//! runner ended, and the leader blocks what all of them have in common. An entry that saw enough ends
//! under one request refuses it without the leader. See docs/design/crashing-parts.md.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_wire::count_losses;
use dotterelrudder_wire::PartBlock;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::PartVerdicts;
use dotterelrudder_wire::RunnerLoss;
use dotterelrudder_wire::SharedPart;
use dotterelrudder_wire::MAX_LOST_REQUESTS;

use crate::Beginnings;
use crate::RequestTraits;

/// The interval at which held blocks are reported without a change, so that a new leader learns
/// them.
pub const PART_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long the end of a runner counts.
pub(crate) const LOSS_TTL: Duration = Duration::from_secs(60);
/// The largest number of ended runners that are remembered.
const MAX_LOSSES: usize = 64;
/// The number of runners that must end under a request, seen by this entry alone, before it refuses
/// the request and makes no further attempt.
const BLOCK_AFTER_OWN_LOSSES: usize = 3;
/// How long such a block lasts unless the leader confirms it.
const OWN_BLOCK_TTL: Duration = Duration::from_secs(600);
/// The largest number of blocks of which none is the leader's.
const MAX_OWN_BLOCKS: usize = 64;

/// The requests whose connections one runner closed, until it is known whether the runner ended.
#[derive(Debug)]
struct ClosedConnections {
    sent_at: Duration,
    closed_at: Duration,
    requests: Vec<Vec<SharedPart>>,
}

/// A runner that ended.
#[derive(Debug)]
struct EndedRunner {
    runner: CompactString,
    closed: ClosedConnections,
    /// Whether the leader was told.
    is_told: bool,
}

/// A block and the requests that it refused since the last report.
#[derive(Debug)]
struct HeldBlock {
    block: PartBlock,
    refused: u32,
    /// When this entry made the block by itself; `None` for a block of the leader.
    own_since: Option<Duration>,
}

/// What an entry knows of requests that may crash runners.
#[derive(Debug, Default)]
pub struct PartWatch {
    begun: Beginnings,
    /// Runners that closed connections, by their identity.
    closed: HashMap<CompactString, ClosedConnections>,
    losses: VecDeque<EndedRunner>,
    watched: BTreeSet<SharedPart>,
    /// Watched parts for the next report.
    begun_due: BTreeSet<SharedPart>,
    blocks: Vec<HeldBlock>,
    reported_at: Duration,
    /// Whether the last verdicts came from a leader that still learns what entries know.
    is_leader_new: bool,
}

impl ClosedConnections {
    /// Returns whether a request with the part was lost, and none began later.
    fn counts_against(&self, part: &SharedPart, begun_at: Option<Duration>) -> bool {
        begun_at.is_none_or(|at| self.closed_at > at)
            && self.requests.iter().any(|r| r.contains(part))
    }
}

impl PartWatch {
    /// Returns the block that applies to a request.
    pub fn block_of(&self, request: RequestTraits<'_>) -> Option<&PartBlock> {
        let held = &self.blocks[self.position_of_block(request)?];
        Some(&held.block)
    }

    /// Counts a request that a block refused.
    pub fn count_refusal(&mut self, request: RequestTraits<'_>) {
        if let Some(position) = self.position_of_block(request) {
            self.blocks[position].refused += 1;
        }
    }

    fn position_of_block(&self, request: RequestTraits<'_>) -> Option<usize> {
        if self.blocks.is_empty() {
            return None;
        }
        let own: Vec<SharedPart> = request.parts().collect();
        let mut blocks = self.blocks.iter();
        blocks.position(|h| h.block.parts.iter().all(|part| own.contains(part)))
    }

    /// Returns the numbers of blocked parts of prompts and of blocked requests.
    pub fn blocks(&self) -> (usize, usize) {
        let requests = self.blocks.iter().filter(|h| h.block.request().is_some());
        let requests = requests.count();
        (self.blocks.len() - requests, requests)
    }

    /// Returns whether so many runners ended under a request that it gets no further attempt.
    pub fn is_suspect(&self, now: Duration, request: RequestTraits<'_>) -> bool {
        let part = request.fingerprint.part();
        let begun_at = self.begun.last(now, &part);
        let ended = self.losses.iter().map(|l| &l.closed);
        let lost = ended.chain(self.closed.values());
        let lost = lost.filter(|closed| closed.counts_against(&part, begun_at));
        self.watched.contains(&part) || lost.count() >= BLOCK_AFTER_OWN_LOSSES
    }

    /// Records that the answer to a request began.
    pub fn on_begun(&mut self, now: Duration, request: RequestTraits<'_>) {
        for part in request.parts() {
            if self.watched.contains(&part) {
                self.begun_due.insert(part.clone());
            }
            self.begun.record(now, part);
        }
    }

    /// Records that a runner closed the connection of a request that had not begun. Returns whether
    /// it is the first such request, so that the caller has to find out whether the runner ended.
    pub fn on_closed(
        &mut self,
        now: Duration,
        runner: &CompactString,
        sent_at: Duration,
        request: RequestTraits<'_>,
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
            closed.requests.push(request.parts().collect());
        }
        is_first
    }

    /// Records whether a runner ended that had closed connections. Returns the requests that are
    /// refused from now on for what this entry saw alone.
    pub fn on_probed(&mut self, runner: &CompactString, has_ended: bool) -> Vec<PartBlock> {
        let closed = self.closed.remove(runner).filter(|_| has_ended);
        let Some(closed) = closed else {
            return Vec::new();
        };
        let now = closed.closed_at;
        let lost = closed.requests.iter().flatten();
        let lost: BTreeSet<SharedPart> = lost.filter(|p| p.is_whole_request()).cloned().collect();
        self.losses.retain(|l| now < l.closed.closed_at + LOSS_TTL);
        if self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(EndedRunner {
            runner: runner.clone(),
            closed,
            is_told: false,
        });
        let own = self.blocks.iter().filter(|h| h.own_since.is_some()).count();
        let new = lost
            .into_iter()
            .filter_map(|part| self.own_block(part, now));
        let new: Vec<PartBlock> = new.take(MAX_OWN_BLOCKS.saturating_sub(own)).collect();
        self.blocks.extend(new.iter().map(|block| HeldBlock {
            block: block.clone(),
            refused: 0,
            own_since: Some(now),
        }));
        new
    }

    /// Returns the block of a request under which enough runners ended here, if there is none yet.
    fn own_block(&self, part: SharedPart, now: Duration) -> Option<PartBlock> {
        let begun_at = self.begun.last(now, &part);
        let (ends, others): (Vec<_>, Vec<_>) = self
            .losses
            .iter()
            .partition(|l| l.closed.requests.iter().any(|r| r.contains(&part)));
        let ends = ends.into_iter().map(|l| l.closed.closed_at);
        let ends = ends.filter(|at| begun_at.is_none_or(|begun| *at > begun));
        let others: Vec<Duration> = others.into_iter().map(|l| l.closed.closed_at).collect();
        let (runners, _) = count_losses(begun_at.is_some(), ends.collect(), &others);
        let is_blocked = self.blocks.iter().any(|h| h.block.parts.contains(&part));
        (runners >= BLOCK_AFTER_OWN_LOSSES && !is_blocked).then(|| PartBlock {
            parts: vec![part],
            runners: runners as u32,
            age: Duration::ZERO,
        })
    }

    /// Applies verdicts of the leader. Returns the blocks that are new, and the number of those that
    /// ended.
    pub fn on_verdicts(
        &mut self,
        now: Duration,
        verdicts: &PartVerdicts,
    ) -> (Vec<PartBlock>, usize) {
        if !verdicts.is_complete && !self.is_leader_new {
            // A new leader doesn't know the ends that the one before was told.
            self.losses.iter_mut().for_each(|l| l.is_told = false);
        }
        self.is_leader_new = !verdicts.is_complete;
        let listed = |parts: &[SharedPart]| verdicts.blocks.iter().any(|b| b.parts == parts);
        let before = self.blocks.len();
        let watched_before = std::mem::take(&mut self.watched);
        self.watched = verdicts.watched.iter().cloned().collect();
        if verdicts.is_complete {
            // The leader stops watching a request that began at another entry.
            let watched = &self.watched;
            self.blocks.retain(|h| {
                let is_watched = h.block.parts.iter().all(|p| watched.contains(p));
                listed(&h.block.parts) || h.own_since.is_some() && is_watched
            });
        }
        let ended = before - self.blocks.len();
        for held in &mut self.blocks {
            if listed(&held.block.parts) {
                held.own_since = None;
            }
        }
        let held: Vec<&[SharedPart]> = self.blocks.iter().map(|h| &h.block.parts[..]).collect();
        let new = verdicts
            .blocks
            .iter()
            .filter(|b| !held.contains(&&b.parts[..]));
        let new: Vec<PartBlock> = new.cloned().collect();
        self.blocks.extend(new.iter().map(|block| HeldBlock {
            block: block.clone(),
            refused: 0,
            own_since: None,
        }));
        for part in &verdicts.watched {
            if !watched_before.contains(part) && self.begun.last(now, part).is_some() {
                self.begun_due.insert(part.clone());
            }
        }
        (new, ended)
    }

    /// Returns whether the leader should hear of something at once.
    pub fn is_report_due(&self) -> bool {
        self.losses.iter().any(|l| !l.is_told) || !self.begun_due.is_empty()
    }

    /// Ends blocks of this entry that no leader has confirmed for long.
    pub fn expire(&mut self, now: Duration) {
        let lasts = |since: Duration| now < since + OWN_BLOCK_TTL;
        self.blocks.retain(|h| h.own_since.is_none_or(lasts));
    }

    /// Returns the next report; none if there is nothing to report.
    pub fn take_report(&mut self, now: Duration) -> Option<PartReport> {
        let repeats = !self.blocks.is_empty() && now >= self.reported_at + PART_REPORT_INTERVAL;
        if !self.is_report_due() && !repeats {
            return None;
        }
        self.reported_at = now;
        self.losses.retain(|l| now < l.closed.closed_at + LOSS_TTL);
        let untold = self.losses.iter_mut().filter(|l| !l.is_told);
        let losses = untold.map(|l| {
            l.is_told = true;
            RunnerLoss {
                runner: l.runner.clone(),
                sent_ago: now.saturating_sub(l.closed.sent_at),
                lost_ago: now.saturating_sub(l.closed.closed_at),
                requests: l.closed.requests.clone(),
            }
        });
        let losses = losses.collect();
        let begun = std::mem::take(&mut self.begun_due).into_iter();
        let begun = begun.filter_map(|part| {
            let ago = now.saturating_sub(self.begun.last(now, &part)?);
            Some((part, ago))
        });
        let begun = begun.collect();
        // A new leader takes over what it is told; the ends behind own blocks are told by themselves.
        let held = self.blocks.iter_mut().filter(|h| h.own_since.is_none());
        let held = held.map(|h| {
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
