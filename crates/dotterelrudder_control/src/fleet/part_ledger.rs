//! The leader's ledger of requests that crash runners: of parts of their prompts, and of repetitions
//! of one request.
//!
//! Entries report runners that ended, with the parts of the requests that had not begun there. A part
//! under which several runners ended, without a request with it that began in between, is blocked at
//! all entries. What all repetitions of one request share is a part like the others. The ledger is soft state; a new leader takes the blocks over from the entries'
//! reports and from what the leader before announced. See docs/design/crashing-parts.md.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use dotterelrudder_wire::PartBlock;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::PartVerdicts;
use dotterelrudder_wire::RunnerLoss;
use dotterelrudder_wire::SharedPart;

use super::part_suspects::find_suspects;
use super::part_suspects::Block;
use super::part_suspects::Loss;
use super::part_suspects::Suspect;

/// How long entries have for their answers to that.
const WATCH_PERIOD: Duration = Duration::from_millis(250);
/// How long the end of a runner counts.
const LOSS_TTL: Duration = Duration::from_secs(60);
/// Reports of requests that were sent up to this time after a runner's end still belong to it.
const SAME_LOSS_MARGIN: Duration = Duration::from_millis(100);
/// How long a block stays after the last refused request.
const BLOCK_TTL: Duration = Duration::from_secs(600);
/// How long a new leader takes over blocks that entries hold; three times the interval at which
/// entries repeat their reports.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(3);
/// The interval at which the leader announces its blocks to the other control instances.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// The largest number of requests that are kept of one end, which several entries report.
const MAX_REQUESTS_OF_LOSS: usize = 128;
/// The shortest time between two decisions: while many runners end, each reads all that is kept.
const MIN_DECISION_INTERVAL: Duration = Duration::from_millis(50);
/// The largest numbers of ended runners, watched parts and blocks that are kept.
const MAX_LOSSES: usize = 128;
const MAX_WATCHED: usize = 256;
const MAX_BLOCKS: usize = 256;

/// The evidence against parts of prompts, and the blocks that follow from it.
#[derive(Debug, Default)]
pub struct PartLedger {
    losses: VecDeque<Loss>,
    /// Since when entries report whether requests with these parts begin.
    watched: BTreeMap<SharedPart, Duration>,
    /// When an answer to a request with a part last began.
    begun: BTreeMap<SharedPart, Duration>,
    blocks: Vec<Block>,
    /// The blocks that the leader announced to this instance, and when, while another one leads.
    announced: Vec<(PartBlock, Duration)>,
    reminder: Reminder,
    announced_to_peers_at: Duration,
    /// Whether the last announcement had blocks, so that their end is announced too.
    has_announced_blocks: bool,
    decided_at: Duration,
    takeover_until: Duration,
    is_taking_over: bool,
    has_changed: bool,
}

/// Whether the leader of a term knows the blocks that the one before announced.
#[derive(Debug, Default)]
struct Reminder {
    term: u64,
    is_known: bool,
    sent_at: Option<Duration>,
}

impl PartLedger {
    /// Begins a leadership with the blocks that the leader before announced; those that entries hold
    /// are taken over for a while.
    pub fn begin_leadership(&mut self, now: Duration) {
        let announced = self.announced.drain(..);
        let announced = announced.map(|(block, at)| Block::restored(block, at, now));
        *self = Self {
            blocks: announced.collect(),
            takeover_until: now + TAKEOVER_PERIOD,
            is_taking_over: true,
            ..Self::default()
        };
    }

    /// Applies an entry's report. Returns whether the entry holds other blocks than the ledger.
    pub fn on_report(&mut self, report: PartReport, now: Duration) -> bool {
        for loss in report.losses {
            self.add_loss(loss, now);
        }
        for (part, ago) in report.begun {
            let at = now.saturating_sub(ago);
            let last = self.begun.entry(part).or_default();
            *last = at.max(*last);
        }
        let differs = report.held.len() != self.blocks.len();
        for (parts, refused) in report.held {
            match self.blocks.iter_mut().find(|b| b.parts == parts) {
                Some(block) if refused > 0 => block.refused_at = now,
                None if self.is_taking_over => self.block(parts, 0, now),
                _ => {}
            }
        }
        if now >= self.decided_at + MIN_DECISION_INTERVAL {
            self.decide(now);
        }
        differs
    }

    /// Removes what has expired, and decides on parts whose watch has ended.
    pub fn tick(&mut self, now: Duration) {
        if self.is_taking_over && now >= self.takeover_until {
            self.is_taking_over = false;
            self.has_changed = true;
        }
        let blocks = self.blocks.len();
        self.blocks.retain(|b| now < b.refused_at + BLOCK_TTL);
        self.has_changed |= self.blocks.len() != blocks;
        let is_due = now >= self.decided_at + MIN_DECISION_INTERVAL;
        if is_due && !self.losses.is_empty() {
            self.decide(now);
        }
    }

    /// Keeps the blocks that the leading control instance announced.
    pub fn on_announced(&mut self, verdicts: &PartVerdicts, now: Duration) {
        let blocks = verdicts.blocks.iter().cloned();
        self.announced = blocks.map(|block| (block, now)).collect();
        self.reminder.is_known = true;
    }

    /// Returns the announced blocks for the leader of a later term, until it announces some itself:
    /// if it restarted, it knows none.
    pub fn take_reminder(&mut self, term: u64, now: Duration) -> Option<PartVerdicts> {
        if self.reminder.term != term {
            self.reminder = Reminder {
                term,
                ..Reminder::default()
            };
        }
        self.announced.retain(|(_, at)| now < *at + BLOCK_TTL);
        let reminder = &mut self.reminder;
        let is_due = |at: Duration| now >= at + ANNOUNCE_INTERVAL;
        if self.announced.is_empty() || reminder.is_known || !reminder.sent_at.is_none_or(is_due) {
            return None;
        }
        reminder.sent_at = Some(now);
        let blocks = self.announced.iter().map(|(block, at)| PartBlock {
            age: block.age + now.saturating_sub(*at),
            ..block.clone()
        });
        Some(PartVerdicts {
            blocks: blocks.collect(),
            ..PartVerdicts::default()
        })
    }

    /// Takes over blocks that another control instance knows, while a new leader does so.
    pub fn on_reminder(&mut self, verdicts: &PartVerdicts, now: Duration) {
        if !self.is_taking_over {
            return;
        }
        for block in &verdicts.blocks {
            let is_known = self.blocks.iter().any(|b| b.parts == block.parts);
            if !is_known && self.blocks.len() < MAX_BLOCKS {
                self.blocks.push(Block::restored(block.clone(), now, now));
                self.has_changed = true;
            }
        }
    }

    /// Returns the verdicts for the other control instances, at regular intervals: the leader and all
    /// entries may be lost at once.
    pub fn take_announcement(&mut self, now: Duration) -> Option<PartVerdicts> {
        let is_due = now >= self.announced_to_peers_at + ANNOUNCE_INTERVAL;
        if !is_due {
            return None;
        }
        self.announced_to_peers_at = now;
        let has_blocks = !self.blocks.is_empty();
        let had_blocks = std::mem::replace(&mut self.has_announced_blocks, has_blocks);
        (has_blocks || had_blocks).then(|| self.verdicts(now))
    }

    /// Returns the verdicts if they changed since the last call.
    pub fn take_update(&mut self, now: Duration) -> Option<PartVerdicts> {
        std::mem::take(&mut self.has_changed).then(|| self.verdicts(now))
    }

    /// Returns the verdicts in force.
    pub fn verdicts(&self, now: Duration) -> PartVerdicts {
        let blocks = self.blocks.iter().map(|b| PartBlock {
            parts: b.parts.clone(),
            runners: b.runners,
            age: now.saturating_sub(b.since),
        });
        PartVerdicts {
            is_complete: !self.is_taking_over,
            watched: self.watched.keys().cloned().collect(),
            blocks: blocks.collect(),
        }
    }

    /// Adds the end of a runner, or what another entry saw of one that is known.
    fn add_loss(&mut self, loss: RunnerLoss, now: Duration) {
        let at = now.saturating_sub(loss.lost_ago);
        let sent_at = now.saturating_sub(loss.sent_ago);
        let mut requests: Vec<BTreeSet<SharedPart>> = loss
            .requests
            .into_iter()
            .map(|r| r.into_iter().collect())
            .collect();
        let known = self.losses.iter_mut().rev();
        let same = known
            .filter(|l| l.runner == loss.runner)
            .find(|l| sent_at <= l.at + SAME_LOSS_MARGIN);
        match same {
            Some(same) => {
                same.requests.append(&mut requests);
                same.requests.truncate(MAX_REQUESTS_OF_LOSS);
            }
            None => {
                requests.truncate(MAX_REQUESTS_OF_LOSS);
                self.losses.push_back(Loss {
                    runner: loss.runner,
                    at,
                    requests,
                });
            }
        }
        if self.losses.len() > MAX_LOSSES {
            self.losses.pop_front();
        }
    }

    /// Lifts blocks that are shown to be wrong, updates the watched parts, and blocks parts.
    fn decide(&mut self, now: Duration) {
        self.decided_at = now;
        self.losses.retain(|l| now < l.at + LOSS_TTL);
        let (begun, blocks) = (&self.begun, self.blocks.len());
        self.blocks.retain(|b| {
            let begins = |p: &SharedPart| begun.get(p).is_some_and(|at| *at > b.since);
            !b.parts.iter().all(begins)
        });
        self.has_changed |= self.blocks.len() != blocks;
        loop {
            let suspects = find_suspects(&self.losses, &self.blocks, &self.begun);
            self.watch(&suspects, now);
            let Some(worst) = self.worst(&suspects, now) else {
                return;
            };
            let runners = worst.losses as u32;
            self.block(worst.inseparable_parts(&suspects), runners, now);
        }
    }

    fn block(&mut self, parts: Vec<SharedPart>, runners: u32, now: Duration) {
        self.has_changed = true;
        if self.blocks.len() >= MAX_BLOCKS {
            let oldest = (0..self.blocks.len()).min_by_key(|i| self.blocks[*i].refused_at);
            oldest.map(|i| self.blocks.remove(i));
        }
        self.blocks.push(Block {
            parts,
            runners,
            since: now,
            refused_at: now,
        });
    }

    /// Watches the suspects, and no other part.
    fn watch(&mut self, suspects: &[Suspect], now: Duration) {
        let blocked = self.blocks.iter().flat_map(|b| &b.parts);
        let wanted: BTreeSet<&SharedPart> = suspects
            .iter()
            .map(|s| &s.part)
            .chain(blocked)
            .take(MAX_WATCHED)
            .collect();
        let before = self.watched.len();
        self.watched.retain(|part, _| wanted.contains(part));
        self.has_changed |= self.watched.len() != before;
        for part in wanted {
            if !self.watched.contains_key(part) {
                self.watched.insert(part.clone(), now);
                self.has_changed = true;
            }
        }
        // A part is forgotten once nothing counts against it, as its beginnings are reported anew.
        let losses = &self.losses;
        self.begun.retain(|part, _| {
            let holds = |l: &Loss| l.requests.iter().any(|r| r.contains(part));
            losses.iter().any(holds)
        });
    }

    /// Returns the part to block next: the one under which most runners ended; of several, the one
    /// whose requests have not begun for longest, and then the rarest.
    fn worst<'a>(&self, suspects: &'a [Suspect], now: Duration) -> Option<&'a Suspect> {
        let confirmed = suspects.iter().filter(|s| {
            let since = self.watched.get(&s.part);
            s.has_enough_losses(suspects) && since.is_some_and(|at| now >= *at + WATCH_PERIOD)
        });
        // What is blocked already must not be blocked without end, whatever speaks against it.
        let confirmed = confirmed.filter(|s| {
            let parts = s.inseparable_parts(suspects);
            self.blocks.iter().all(|b| b.parts != parts)
        });
        confirmed.min_by_key(|s| {
            let losses = std::cmp::Reverse(s.losses);
            (losses, s.begun_at, s.requests.len())
        })
    }
}
