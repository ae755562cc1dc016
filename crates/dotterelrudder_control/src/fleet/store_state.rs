//! The leader's record of one store, and the choice of the parts to withdraw and to free.

use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_types::DataCentre;
use dotterelrudder_wire::weights_of_salt;
use dotterelrudder_wire::PartKey;

use super::cache_directory::FREE_DELAY;

/// Fill ratio of a store above which parts idle for [`MIN_IDLE`] are withdrawn. Entries stop saving
/// to a store at a slightly higher ratio.
const WITHDRAW_ABOVE: f64 = 0.96;
/// Fill ratio down to which idle parts are then withdrawn.
const WITHDRAW_DOWN_TO: f64 = 0.93;
/// A part used more recently than this is not withdrawn from a full store: the part that would
/// replace it is no more likely to be requested, and the space stays empty until the last possible
/// fetch has ended.
const MIN_IDLE: Duration = Duration::from_secs(20);
/// Fill ratio of a store above which parts of outdated weights are withdrawn. Some runners serve
/// the old weights for a while after new ones are named, while prompts computed under the new
/// weights need space.
const WITHDRAW_OUTDATED_ABOVE: f64 = 0.5;
/// A write without progress for this long counts as abandoned; its part is freed.
const STALLED_WRITE_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of withdrawn parts in one free order, and likewise of parts with stalled writes.
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
    /// In tokens.
    pub(super) capacity: u64,
    pub(super) link_mbps: f64,
    pub(super) first_ms: f64,
    /// The start of the store that `parts` belongs to; `None` while the store is not readable.
    pub(super) epoch: Option<u64>,
    /// Time from which parts may be saved to the store; zero once they may.
    pub(super) accepts_from: Duration,
    pub(super) parts: HashMap<PartKey, Part>,
    /// Parts being written: tokens written so far, and the time of the last progress.
    pub(super) partial: HashMap<PartKey, (u32, Duration)>,
    /// Tombstones of freed parts, with the time of the free order.
    pub(super) freed_at: HashMap<PartKey, Duration>,
}

impl Store {
    /// Returns the share of the capacity in use, from 0 to 1; withdrawn parts count until freed.
    pub(super) fn utilisation(&self) -> f32 {
        let held: u64 = self.parts.values().map(|p| u64::from(p.tokens)).sum();
        held as f32 / self.capacity.max(1) as f32
    }

    /// Marks parts as withdrawn and returns their keys, least recently used first: parts of weights
    /// older than `outdated_below` down to a fill ratio of [`WITHDRAW_OUTDATED_ABOVE`] and, if the
    /// store is filled above [`WITHDRAW_ABOVE`], idle parts down to [`WITHDRAW_DOWN_TO`].
    pub(super) fn withdraw_parts(&mut self, now: Duration, outdated_below: u64) -> Vec<PartKey> {
        let staying = || self.parts.iter().filter(|(_, p)| p.withdrawn_at.is_none());
        let tokens_at = |of: f64| (self.capacity as f64 * of) as u64;
        let mut total_tokens: u64 = staying().map(|(_, p)| u64::from(p.tokens)).sum();
        let full = total_tokens > tokens_at(WITHDRAW_ABOVE);
        // The common case, checked many times a second: the store has space, nothing is withdrawn.
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

    /// Removes and returns the parts to free now: withdrawn parts whose last possible fetch has
    /// ended, and parts whose writes stalled.
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
