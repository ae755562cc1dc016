//! The byte budget of a process.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use super::IntakeLimits;

/// The time without progress after which a holding may be cut off for others that wait. It is longer
/// than the delays of a loaded machine, and shorter than [`IntakeLimits::MAX_WAIT`].
const STALL_TIME: Duration = Duration::from_millis(250);

/// The decision on bytes that a holding asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The holding has the bytes.
    Granted,
    /// The budget is exhausted; the holding keeps what it has.
    Wait,
}

/// What a holding is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldingPhase {
    /// A body that is being received. It may be cut off: its request has not run.
    Receiving,
    /// A request or a response in progress, which is not cut off.
    InProgress,
    /// A response that its caller reads. It may be cut off when the caller does not read.
    Answering,
}

#[derive(Debug)]
struct Holding {
    account: CompactString,
    phase: HoldingPhase,
    bytes: usize,
    /// When the peer last made progress.
    progress: Duration,
    /// Whether a body waits for bytes, so that its lack of progress is not its peer's.
    waits: bool,
    is_cut: bool,
}

/// The bytes that a process holds for its peers, by holding and account.
///
/// A holding has one account, which is empty for all callers without an account together. Large
/// holdings leave a part of the budget to small ones. While the budget is scarce, each account gets an
/// equal part.
#[derive(Debug)]
pub struct ByteBudget {
    limits: IntakeLimits,
    holdings: BTreeMap<u64, Holding>,
    accounts: HashMap<CompactString, usize>,
    held: usize,
    next_id: u64,
}

impl ByteBudget {
    /// Builds an unused budget.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            holdings: BTreeMap::new(),
            accounts: HashMap::new(),
            held: 0,
            next_id: 0,
        }
    }

    /// Opens a holding without bytes, and returns its id.
    pub fn open(&mut self, now: Duration, account: &str, phase: HoldingPhase) -> u64 {
        self.next_id += 1;
        let holding = Holding {
            account: account.into(),
            phase,
            bytes: 0,
            progress: now,
            waits: false,
            is_cut: false,
        };
        self.holdings.insert(self.next_id, holding);
        self.next_id
    }

    /// Changes the size of a holding. Less than before is always granted.
    pub fn resize(&mut self, now: Duration, id: u64, bytes: usize) -> Grant {
        let Some(holding) = self.holdings.get(&id) else {
            return Grant::Wait;
        };
        let grows = bytes > holding.bytes;
        if grows && !self.has_room(holding, bytes) {
            if let Some(holding) = self.holdings.get_mut(&id) {
                holding.waits = holding.phase == HoldingPhase::Receiving;
            }
            return Grant::Wait;
        }
        let Some(holding) = self.holdings.get_mut(&id) else {
            return Grant::Wait;
        };
        let before = std::mem::replace(&mut holding.bytes, bytes);
        if holding.waits {
            holding.waits = false;
            holding.progress = now;
        }
        self.held = self.held - before + bytes;
        let account = self.accounts.entry(holding.account.clone()).or_default();
        *account = *account - before + bytes;
        if *account == 0 {
            let name = holding.account.clone();
            self.accounts.remove(&name);
        }
        Grant::Granted
    }

    /// Returns whether a holding may grow to a size.
    fn has_room(&self, holding: &Holding, bytes: usize) -> bool {
        let after = self.held - holding.bytes + bytes;
        if bytes <= self.limits.small_bytes {
            return after <= self.limits.bytes;
        }
        let shared = self.limits.bytes - self.limits.reserved_bytes;
        if after > shared {
            return false;
        }
        let of_account = self.accounts.get(&holding.account).copied().unwrap_or(0);
        // A single request is served however many accounts hold something.
        if after <= shared / 4 * 3 || of_account == holding.bytes {
            return true;
        }
        let is_new = of_account == 0;
        let accounts = (self.accounts.len() + usize::from(is_new)).max(1);
        let account_after = of_account - holding.bytes + bytes;
        account_after <= (shared / accounts).min(shared / 4 * 3)
    }

    /// Records that the peer of a holding made progress.
    pub fn progress(&mut self, now: Duration, id: u64) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.progress = now;
        }
    }

    /// Records that a holding serves another phase now, which is progress.
    pub fn set_phase(&mut self, now: Duration, id: u64, phase: HoldingPhase) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.phase = phase;
            holding.progress = now;
            holding.waits = false;
        }
    }

    /// Closes a holding and releases its bytes.
    pub fn close(&mut self, now: Duration, id: u64) {
        self.resize(now, id, 0);
        self.holdings.remove(&id);
    }

    /// Chooses the holding to cut off for others that wait: the one longest without progress. If none
    /// is without progress, but all bodies that hold bytes wait for more, the newest of these, since
    /// none could go on otherwise. The holding counts as cut off from then.
    pub fn cut(&mut self, now: Duration) -> Option<u64> {
        let is_candidate = |h: &Holding| {
            h.phase != HoldingPhase::InProgress && h.bytes > 0 && !h.is_cut && !h.waits
        };
        let stalled = self.holdings.iter().filter(|(_, h)| is_candidate(h));
        let stalled = stalled.filter(|(_, h)| now.saturating_sub(h.progress) >= STALL_TIME);
        let stalled = stalled.min_by_key(|(id, h)| (h.progress, **id));
        let chosen = stalled
            .map(|(id, _)| *id)
            .or_else(|| self.newest_deadlocked());
        let chosen = chosen?;
        self.holdings.get_mut(&chosen)?.is_cut = true;
        Some(chosen)
    }

    fn newest_deadlocked(&self) -> Option<u64> {
        let mut holding = self.holdings.iter().filter(|(_, h)| h.bytes > 0);
        if holding.any(|(_, h)| h.is_cut || !h.waits) {
            return None;
        }
        let mut newest = self.holdings.iter().rev();
        newest.find(|(_, h)| h.bytes > 0).map(|(id, _)| *id)
    }

    /// Returns all bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of open holdings.
    pub fn holdings(&self) -> usize {
        self.holdings.len()
    }

    /// Returns the number of accounts that hold bytes.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }
}
