//! The table of a side's attempts, with tombstones of attempts that must not start any more.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use dotterelrudder_types::AttemptId;
use slotmap::new_key_type;
use slotmap::SlotMap;

use crate::attempt::AnyAttempt;

new_key_type! {
    /// The key of an attempt in the table.
    pub(crate) struct AttemptKey;
}

/// How long an ended attempt and its answer are kept for queries.
const ANSWER_RETENTION: Duration = Duration::from_secs(30);
/// How long the tombstone of an ended or cancelled attempt is kept. Longer than any request
/// deadline, so that no start message arrives after it.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(900);

/// All attempts of a side, indexed by identifier and by run.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    /// An attempt is absent only while [`AttemptTable::advance`] replaces it.
    arena: SlotMap<AttemptKey, Option<AnyAttempt>>,
    /// Attempts that have not ended, so that iterating over work in progress does not visit the
    /// many that ended recently.
    active: BTreeSet<AttemptKey>,
    by_id: HashMap<AttemptId, AttemptKey>,
    by_run: HashMap<u64, AttemptKey>,
    /// Ended attempts in order of their end.
    ended: VecDeque<(Duration, AttemptKey)>,
    tombstones: BTreeSet<AttemptId>,
    tombstone_order: VecDeque<(Duration, AttemptId)>,
}

impl AttemptTable {
    pub(crate) fn key_of(&self, id: AttemptId) -> Option<AttemptKey> {
        self.by_id.get(&id).copied()
    }

    pub(crate) fn key_of_run(&self, run: u64) -> Option<AttemptKey> {
        self.by_run.get(&run).copied()
    }

    pub(crate) fn get(&self, key: AttemptKey) -> Option<&AnyAttempt> {
        self.arena.get(key)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, key: AttemptKey) -> Option<&mut AnyAttempt> {
        self.arena.get_mut(key)?.as_mut()
    }

    pub(crate) fn has_tombstone(&self, id: AttemptId) -> bool {
        self.tombstones.contains(&id)
    }

    /// Adds a tombstone, so that a start message for the attempt is refused.
    pub(crate) fn add_tombstone(&mut self, id: AttemptId, now: Duration) {
        if self.tombstones.insert(id) {
            self.tombstone_order.push_back((now, id));
        }
    }

    /// Adds an attempt that has not ended.
    pub(crate) fn insert(&mut self, attempt: AnyAttempt) -> AttemptKey {
        let id = attempt.start().attempt;
        let key = self.arena.insert(Some(attempt));
        self.by_id.insert(id, key);
        self.active.insert(key);
        key
    }

    /// Replaces an attempt by its next state and updates the indexes. The closure takes the attempt
    /// by value, so that a previous state cannot be used by mistake.
    pub(crate) fn advance<F>(&mut self, key: AttemptKey, next: F)
    where
        F: FnOnce(AnyAttempt) -> AnyAttempt,
    {
        let Some(cell) = self.arena.get_mut(key) else {
            return;
        };
        let Some(attempt) = cell.take() else {
            return;
        };
        if let Some(run) = attempt.run() {
            self.by_run.remove(&run);
        }
        let id = attempt.start().attempt;
        let attempt = next(attempt);
        let run = attempt.run();
        let ended_at = match &attempt {
            AnyAttempt::Ended(ended) => Some(ended.state.at),
            _ => None,
        };
        *cell = Some(attempt);
        if let Some(run) = run {
            self.by_run.insert(run, key);
        }
        if let Some(at) = ended_at {
            self.active.remove(&key);
            self.ended.push_back((at, key));
            self.add_tombstone(id, at);
        }
    }

    /// Returns the attempts that have not ended, in the order of their keys.
    pub(crate) fn active(&self) -> impl Iterator<Item = (AttemptKey, &AnyAttempt)> {
        self.active
            .iter()
            .filter_map(|key| Some((*key, self.get(*key)?)))
    }

    /// Removes ended attempts and tombstones whose retention has passed.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        while self
            .ended
            .front()
            .is_some_and(|(at, _)| now >= *at + ANSWER_RETENTION)
        {
            if let Some((_, key)) = self.ended.pop_front() {
                if let Some(attempt) = self.arena.remove(key).flatten() {
                    self.by_id.remove(&attempt.start().attempt);
                }
            }
        }
        while self
            .tombstone_order
            .front()
            .is_some_and(|(at, _)| now >= *at + TOMBSTONE_RETENTION)
        {
            if let Some((_, id)) = self.tombstone_order.pop_front() {
                self.tombstones.remove(&id);
            }
        }
    }
}
