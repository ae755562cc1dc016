//! What the leader knows of one store.

use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_types::DataCentre;
use dotterelrudder_wire::PartKey;

use super::cache_directory::FREE_AFTER;

/// The share of a store at which parts begin to leave.
const FULL: f64 = 0.95;
/// The share of a store down to which parts leave then.
const FILL_TO: f64 = 0.90;
/// A part that is being written for this long was broken off.
const BROKEN_OFF_AFTER: Duration = Duration::from_secs(6);
/// Parts in one order to free at most.
const MOST_FREED: usize = 64;

#[derive(Debug, Clone)]
pub(super) struct Part {
    pub(super) tokens: u32,
    pub(super) used_at: Duration,
    pub(super) withdrawn_at: Option<Duration>,
}

#[derive(Debug)]
pub(super) struct Store {
    pub(super) data_centre: DataCentre,
    pub(super) capacity: u64,
    pub(super) link_mbps: f64,
    pub(super) first_ms: f64,
    pub(super) epoch: Option<u64>,
    pub(super) accepts_from: Duration,
    pub(super) parts: HashMap<PartKey, Part>,
    pub(super) partial: HashMap<PartKey, (u32, Duration)>,
    pub(super) freed: HashMap<PartKey, Duration>,
}

impl Store {
    /// Returns the share of the capacity in use.
    pub(super) fn fill(&self) -> f32 {
        let held: u64 = self.parts.values().map(|p| u64::from(p.tokens)).sum();
        held as f32 / self.capacity.max(1) as f32
    }

    /// Withdraws the parts that were used least lately while the store is nearly full.
    pub(super) fn choose_leaving(&mut self, now: Duration) -> Vec<PartKey> {
        let held: u64 = self.parts.values().map(|p| u64::from(p.tokens)).sum();
        let leaving = self.parts.values().filter(|p| p.withdrawn_at.is_some());
        let leaving: u64 = leaving.map(|p| u64::from(p.tokens)).sum();
        let mut staying = held - leaving;
        if staying as f64 <= self.capacity as f64 * FULL {
            return Vec::new();
        }
        let mut by_age: Vec<(Duration, PartKey, u64)> = self
            .parts
            .iter()
            .filter(|(_, p)| p.withdrawn_at.is_none())
            .map(|(key, p)| (p.used_at, key.clone(), u64::from(p.tokens)))
            .collect();
        by_age.sort_unstable();
        let target = (self.capacity as f64 * FILL_TO) as u64;
        let mut chosen = Vec::new();
        for (_, key, tokens) in by_age {
            if staying <= target {
                break;
            }
            staying -= tokens;
            if let Some(part) = self.parts.get_mut(&key) {
                part.withdrawn_at = Some(now);
            }
            chosen.push(key);
        }
        chosen
    }

    /// Takes the parts that nobody can be reading any more, and those whose writing broke off.
    pub(super) fn take_due(&mut self, now: Duration) -> Vec<PartKey> {
        let due = |p: &Part| p.withdrawn_at.is_some_and(|at| now >= at + FREE_AFTER);
        let mut parts: Vec<PartKey> = self
            .parts
            .iter()
            .filter(|(_, p)| due(p))
            .map(|(key, _)| key.clone())
            .take(MOST_FREED)
            .collect();
        let broken = self.partial.iter();
        let broken = broken.filter(|(_, (_, since))| now >= *since + BROKEN_OFF_AFTER);
        parts.extend(broken.map(|(key, _)| key.clone()).take(MOST_FREED));
        for key in &parts {
            self.parts.remove(key);
            self.partial.remove(key);
            self.freed.insert(key.clone(), now);
        }
        parts
    }
}
