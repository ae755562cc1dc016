//! Which parts of requests runners ended under, and how often each counts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_wire::count_losses;
use dotterelrudder_wire::PartBlock;
use dotterelrudder_wire::SharedPart;

/// The number of runners that must end under a part of prompts before it is blocked.
const BLOCK_AFTER_LOSSES: usize = 4;
/// The number of them that must not have ended under one other request, which may be at fault alone.
const MIN_LOSSES_BEYOND_REQUEST: usize = 2;
/// The number of runners that must end under one request before it is blocked, if no other runner
/// ended together with them. Fewer than for a part, as far fewer sound requests are refused for it.
const BLOCK_REQUEST_AFTER_LOSSES: usize = 3;
/// The same if others ended together with one of them, which may have been lost for another reason.
const BLOCK_UNLUCKY_REQUEST_AFTER_LOSSES: usize = 4;
/// The number after which entries are asked whether requests with the part begin.
const WATCH_AFTER_LOSSES: usize = 2;

/// One end of a runner, as all entries saw it together.
#[derive(Debug)]
pub(super) struct Loss {
    pub(super) runner: CompactString,
    pub(super) at: Duration,
    pub(super) requests: Vec<BTreeSet<SharedPart>>,
}

/// A block in force.
#[derive(Debug)]
pub(super) struct Block {
    pub(super) parts: Vec<SharedPart>,
    pub(super) runners: u32,
    pub(super) since: Duration,
    pub(super) refused_at: Duration,
}

/// A part that may be blocked, with what decides between several of them.
#[derive(Debug)]
pub(super) struct Suspect {
    pub(super) part: SharedPart,
    pub(super) losses: usize,
    /// The runners that ended under it since a request with it last began, each counted.
    pub(super) ends: usize,
    /// Whether no other runner ended together with one of them.
    pub(super) is_alone: bool,
    /// The losses that no block of a request explains.
    pub(super) unexplained: BTreeSet<usize>,
    pub(super) begun_at: Option<Duration>,
    pub(super) requests: Vec<(usize, usize)>,
}

impl Suspect {
    /// Returns whether entries are asked whether requests with the part begin. A single request is
    /// watched for ends that came together too, since that costs it no more than further attempts.
    fn is_watched(&self) -> bool {
        let is_ended = self.part.is_whole_request() && self.ends >= WATCH_AFTER_LOSSES;
        is_ended || self.losses >= WATCH_AFTER_LOSSES
    }

    /// Returns the part and those of exactly the same requests, which can't be told apart from it.
    pub(super) fn inseparable_parts(&self, suspects: &[Self]) -> Vec<SharedPart> {
        let same = suspects.iter().filter(|s| s.requests == self.requests);
        same.map(|s| s.part.clone()).collect()
    }

    /// Returns whether enough runners ended for a block.
    pub(super) fn has_enough_losses(&self, suspects: &[Self]) -> bool {
        if self.part.is_whole_request() {
            let needed = match self.is_alone {
                true => BLOCK_REQUEST_AFTER_LOSSES,
                false => BLOCK_UNLUCKY_REQUEST_AFTER_LOSSES,
            };
            return self.losses >= needed && self.unexplained.len() >= MIN_LOSSES_BEYOND_REQUEST;
        }
        if self.losses < BLOCK_AFTER_LOSSES {
            return false;
        }
        let explains = |s: &&Self| {
            s.part.is_whole_request()
                && s.losses >= BLOCK_REQUEST_AFTER_LOSSES
                && s.requests
                    .iter()
                    .all(|r| self.requests.binary_search(r).is_ok())
        };
        let beyond = |s: &Self| self.unexplained.difference(&s.unexplained).count();
        let beyond = suspects.iter().filter(explains).map(beyond).min();
        beyond.unwrap_or(self.unexplained.len()) >= MIN_LOSSES_BEYOND_REQUEST
    }
}

impl Block {
    /// Returns whether the block is about the repetitions of one request.
    fn is_of_request(&self) -> bool {
        self.parts.iter().any(SharedPart::is_whole_request)
    }

    /// Returns the block as another control instance knew it at `known_at`.
    pub(super) fn restored(block: PartBlock, known_at: Duration, now: Duration) -> Self {
        Self {
            parts: block.parts,
            runners: block.runners,
            since: known_at.saturating_sub(block.age),
            refused_at: now,
        }
    }

    pub(super) fn covers(&self, request: &BTreeSet<SharedPart>) -> bool {
        self.parts.iter().all(|p| request.contains(p))
    }
}

/// Returns whether a request holds all parts of one of the blocks.
fn covers_any(blocks: &[&Block], request: &BTreeSet<SharedPart>) -> bool {
    blocks.iter().any(|b| b.covers(request))
}

/// Returns the parts under which at least [`WATCH_AFTER_LOSSES`] runners ended. A loss that a
/// block of a part explains counts against no other part. What the block of a request explains counts
/// beside other losses: the request may have crashed its runner by a part of its prompt, or another
/// request that ran there did.
pub(super) fn find_suspects(
    losses: &VecDeque<Loss>,
    blocks: &[Block],
    begun: &BTreeMap<SharedPart, Duration>,
) -> Vec<Suspect> {
    let (of_requests, of_parts): (Vec<&Block>, Vec<&Block>) =
        blocks.iter().partition(|b| b.is_of_request());
    let is_explained =
        |l: &Loss, blocks: &[&Block]| l.requests.iter().any(|r| covers_any(blocks, r));
    let losses = losses.iter().filter(|l| !is_explained(l, &of_parts));
    let (explained, unexplained): (Vec<&Loss>, Vec<&Loss>) =
        losses.partition(|l| is_explained(l, &of_requests));
    let known = unexplained.len();
    let counted = [unexplained, explained].concat();
    let repeated = parts_of_several(&counted);
    let mut seen: BTreeMap<&SharedPart, Vec<(usize, usize)>> = BTreeMap::new();
    for (n, loss) in counted.iter().enumerate() {
        for (m, request) in loss.requests.iter().enumerate() {
            // Of an explained loss count the parts of the blocked request, and other requests.
            let is_blocked = n >= known && covers_any(&of_requests, request);
            let counts = |p: &SharedPart| n < known || p.is_whole_request() != is_blocked;
            for part in request.iter().filter(|p| counts(p) && repeated.contains(p)) {
                seen.entry(part).or_default().push((n, m));
            }
        }
    }
    let suspects = seen.into_iter().map(|(part, requests)| {
        let begun_at = begun.get(part).copied();
        let under: BTreeSet<usize> = requests.iter().map(|(n, _)| *n).collect();
        let others = counted[..known].iter().enumerate();
        let others = others.filter(|(n, _)| !under.contains(n));
        let others: Vec<Duration> = others.map(|(_, l)| l.at).collect();
        let later = |n: &usize| begun_at.is_none_or(|at| counted[*n].at > at);
        let under: BTreeSet<usize> = under.into_iter().filter(later).collect();
        let ends = under.iter().map(|n| counted[*n].at).collect();
        let (losses, is_alone) = count_losses(begun_at.is_some(), ends, &others);
        let is_alone = is_alone && under.iter().all(|n| *n < known);
        Suspect {
            part: part.clone(),
            losses,
            ends: under.len(),
            is_alone,
            unexplained: under.into_iter().filter(|n| *n < known).collect(),
            begun_at,
            requests,
        }
    });
    suspects.filter(Suspect::is_watched).collect()
}

/// Returns the parts that at least [`WATCH_AFTER_LOSSES`] losses have. Most parts are in one alone,
/// and need not be sorted.
fn parts_of_several<'a>(losses: &[&'a Loss]) -> HashSet<&'a SharedPart> {
    let mut seen: HashMap<&SharedPart, (usize, usize)> = HashMap::new();
    for (n, loss) in losses.iter().enumerate() {
        for part in loss.requests.iter().flatten() {
            let (last, count) = seen.entry(part).or_insert((n, 1));
            if *last != n {
                (*last, *count) = (n, *count + 1);
            }
        }
    }
    let seen = seen.into_iter();
    seen.filter(|(_, (_, count))| *count >= WATCH_AFTER_LOSSES)
        .map(|(part, _)| part)
        .collect()
}
