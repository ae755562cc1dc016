//! What the leader knows of one store.

use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_types::DataCentre;
use dotterelrudder_wire::weights_of_salt;
use dotterelrudder_wire::PartKey;

use super::cache_directory::FREE_DELAY;

/// The share of a store at which parts that weren't used for long begin to leave; entries send
/// nothing more to a store that is a little fuller.
const WITHDRAW_ABOVE: f64 = 0.96;
/// The share of a store down to which parts leave then.
const WITHDRAW_DOWN_TO: f64 = 0.93;
/// A part that was used since then stays: what would come instead is no likelier to be asked for,
/// and its room stays empty until nobody can be reading it any more.
const MIN_IDLE: Duration = Duration::from_secs(20);
/// The share of a store that parts of outdated weights may take. Some runners still serve these
/// weights for a while, and what is read anew needs room.
const WITHDRAW_OUTDATED_ABOVE: f64 = 0.5;
/// A part that is being written for this long was broken off.
const STALLED_WRITE_TIMEOUT: Duration = Duration::from_secs(6);
/// Parts in one order to free at most.
const MAX_PARTS_PER_ORDER: usize = 64;

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
    pub(super) freed_at: HashMap<PartKey, Duration>,
}

impl Store {
    /// Returns the share of the capacity in use.
    pub(super) fn utilisation(&self) -> f32 {
        let held: u64 = self.parts.values().map(|p| u64::from(p.tokens)).sum();
        held as f32 / self.capacity.max(1) as f32
    }

    /// Withdraws parts of weights older than `outdated_below` while these take up much room, and parts that
    /// weren't used for long while the store is full, those used least lately first.
    pub(super) fn withdraw_parts(&mut self, now: Duration, outdated_below: u64) -> Vec<PartKey> {
        let staying = || self.parts.iter().filter(|(_, p)| p.withdrawn_at.is_none());
        let tokens_at = |of: f64| (self.capacity as f64 * of) as u64;
        let mut total_tokens: u64 = staying().map(|(_, p)| u64::from(p.tokens)).sum();
        let full = total_tokens > tokens_at(WITHDRAW_ABOVE);
        // Nothing leaves a store with room, which is looked at many times a second.
        let may_be_outdated =
            outdated_below > 0 && total_tokens > tokens_at(WITHDRAW_OUTDATED_ABOVE);
        if !full && !may_be_outdated {
            return Vec::new();
        }
        let mut by_last_use: Vec<(Duration, &PartKey, u64, f64)> = staying()
            .filter_map(|(key, p)| {
                let outdated = may_be_outdated
                    && weights_of_salt(&key.salt).is_some_and(|w| w < outdated_below);
                let down_to = match outdated {
                    true => WITHDRAW_OUTDATED_ABOVE,
                    false if full && now >= p.used_at + MIN_IDLE => WITHDRAW_DOWN_TO,
                    false => return None,
                };
                Some((p.used_at, key, u64::from(p.tokens), down_to))
            })
            .collect();
        by_last_use.sort_unstable_by_key(|(used_at, key, ..)| (*used_at, *key));
        let mut withdrawn = Vec::new();
        for (_, key, tokens, down_to) in by_last_use {
            if total_tokens > tokens_at(down_to) {
                total_tokens -= tokens;
                withdrawn.push(key.clone());
            }
        }
        for key in &withdrawn {
            if let Some(part) = self.parts.get_mut(key) {
                part.withdrawn_at = Some(now);
            }
        }
        withdrawn
    }

    /// Takes the parts that nobody can be reading any more, and those whose writing broke off.
    pub(super) fn take_parts_to_free(&mut self, now: Duration) -> Vec<PartKey> {
        let due = |p: &Part| p.withdrawn_at.is_some_and(|at| now >= at + FREE_DELAY);
        let mut parts: Vec<PartKey> = self
            .parts
            .iter()
            .filter(|(_, p)| due(p))
            .map(|(key, _)| key.clone())
            .take(MAX_PARTS_PER_ORDER)
            .collect();
        let stalled = self.partial.iter();
        let stalled = stalled.filter(|(_, (_, since))| now >= *since + STALLED_WRITE_TIMEOUT);
        parts.extend(
            stalled
                .map(|(key, _)| key.clone())
                .take(MAX_PARTS_PER_ORDER),
        );
        for key in &parts {
            self.parts.remove(key);
            self.partial.remove(key);
            self.freed_at.insert(key.clone(), now);
        }
        parts
    }
}
