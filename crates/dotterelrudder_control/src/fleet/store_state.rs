//! What the leader knows of one store.

use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_types::DataCentre;
use dotterelrudder_wire::weights_of_salt;
use dotterelrudder_wire::PartKey;

use super::cache_directory::FREE_AFTER;

/// The share of a store at which parts that weren't used for long begin to leave; entries send
/// nothing more to a store that is a little fuller.
const FULL: f64 = 0.96;
/// The share of a store down to which parts leave then.
const FILL_TO: f64 = 0.93;
/// A part that was used since then stays: what would come instead is no likelier to be asked for,
/// and its room stays empty until nobody can be reading it any more.
const IDLE: Duration = Duration::from_secs(20);
/// The share of a store that parts of outdated weights may take. Some runners still serve these
/// weights for a while, and what is read anew needs room.
const OUTDATED_SHARE: f64 = 0.5;
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

    /// Withdraws parts of weights older than `weights` while these take up much room, and parts that
    /// weren't used for long while the store is full, those used least lately first.
    pub(super) fn choose_leaving(&mut self, now: Duration, weights: u64) -> Vec<PartKey> {
        let staying = || self.parts.iter().filter(|(_, p)| p.withdrawn_at.is_none());
        let share = |of: f64| (self.capacity as f64 * of) as u64;
        let mut all: u64 = staying().map(|(_, p)| u64::from(p.tokens)).sum();
        let full = all > share(FULL);
        // Nothing leaves a store with room, which is looked at many times a second.
        let may_be_outdated = weights > 0 && all > share(OUTDATED_SHARE);
        if !full && !may_be_outdated {
            return Vec::new();
        }
        let mut by_age: Vec<(Duration, &PartKey, u64, f64)> = staying()
            .filter_map(|(key, p)| {
                let outdated =
                    may_be_outdated && weights_of_salt(&key.salt).is_some_and(|w| w < weights);
                let down_to = match outdated {
                    true => OUTDATED_SHARE,
                    false if full && now >= p.used_at + IDLE => FILL_TO,
                    false => return None,
                };
                Some((p.used_at, key, u64::from(p.tokens), down_to))
            })
            .collect();
        by_age.sort_unstable_by_key(|(used_at, key, ..)| (*used_at, *key));
        let mut chosen = Vec::new();
        for (_, key, tokens, down_to) in by_age {
            if all > share(down_to) {
                all -= tokens;
                chosen.push(key.clone());
            }
        }
        for key in &chosen {
            if let Some(part) = self.parts.get_mut(key) {
                part.withdrawn_at = Some(now);
            }
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
