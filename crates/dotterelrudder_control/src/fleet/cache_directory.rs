//! Which parts of prompts the stores hold, and which of them leave when.
//!
//! A store keeps everything until it is told to free it and doesn't know who reads. Reading a part
//! that is freed meanwhile, or written again after a restart of the store, would mix KV cache, so
//! that a part passes through these states: written (nobody is told), held (entries may name it),
//! withdrawn (entries are told to name it no more, fetches may be under way), freed.
//!
//! Entries use what they were told for [`DIRECTORY_LEASE`] and each fetch ends within
//! [`FETCH_LIMIT`]; a part is freed only after both have passed.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_wire::DirectoryUpdate;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::StoreStatus;
use dotterelrudder_wire::StoredPart;
use dotterelrudder_wire::DIRECTORY_LEASE;
use dotterelrudder_wire::FETCH_LIMIT;

use super::store_state::Part;
use super::store_state::Store;
use super::FreePartsOrder;
use super::StoreEvent;

/// Added for the estimate of the engines' clock and the way of messages.
const CLOCK_AND_DELAY_MARGIN: Duration = Duration::from_millis(500);
/// From the withdrawal of a part until it is freed.
pub(super) const FREE_DELAY: Duration = Duration::from_millis(5_200);
/// How long an order to free may be under way.
const FREE_ORDER_VALIDITY_MS: u64 = 250;
/// How long news of a freed part may still be old.
const TOMBSTONE_RETENTION: Duration = Duration::from_millis(1_500);
/// The step in which entries are told how full a store is, so that they aren't told of each part.
const UTILISATION_STEP: f32 = 0.01;
/// A new leader waits this long before it tells anything, so that no order of an earlier leader
/// is still under way.
const TAKEOVER_DELAY: Duration = Duration::from_millis(350);

const _: () = assert!(
    FREE_DELAY.as_millis()
        >= DIRECTORY_LEASE.as_millis()
            + FETCH_LIMIT.as_millis()
            + CLOCK_AND_DELAY_MARGIN.as_millis()
);

/// The directory that a leader keeps.
#[derive(Debug, Default)]
pub struct CacheDirectory {
    leader_since: Option<Duration>,
    stores: BTreeMap<SocketAddr, Store>,
    clock_offsets_ms: BTreeMap<SocketAddr, i64>,
    number: u64,
    pending: DirectoryUpdate,
    sent_statuses: Vec<StoreStatus>,
    outdated_below: u64,
    snapshot: Option<Arc<DirectoryUpdate>>,
    statuses_changed: bool,
}

impl CacheDirectory {
    /// Starts as a leader; numbers go on from `number`, which no earlier leader used.
    pub fn begin_leadership(&mut self, now: Duration, number: u64) {
        *self = Self {
            leader_since: Some(now),
            number: number.max(1),
            ..Self::default()
        };
    }

    /// Takes the stores that a configuration declares.
    pub fn configure(&mut self, cfg: &DeploymentConfiguration) {
        let declared: Vec<_> = cfg
            .services
            .iter()
            .filter_map(|s| s.store.as_ref())
            .collect();
        let gone: Vec<SocketAddr> = self
            .stores
            .keys()
            .filter(|a| !declared.iter().any(|d| d.address == **a))
            .copied()
            .collect();
        for address in gone {
            self.withdraw_all(address);
            self.stores.remove(&address);
            self.statuses_changed = true;
        }
        for store in declared.iter().filter(|s| s.managed) {
            self.stores.entry(store.address).or_insert_with(|| {
                self.statuses_changed = true;
                Store {
                    data_centre: store.data_centre.clone(),
                    capacity: store.cache_tokens,
                    link_mbps: store.link_mbps,
                    first_ms: store.first_ms,
                    epoch: None,
                    accepts_from: Duration::MAX,
                    parts: HashMap::new(),
                    partial: HashMap::new(),
                    freed_at: HashMap::new(),
                }
            });
        }
    }

    /// Returns the stores to read, once orders of an earlier leader can't be under way.
    pub fn stores_to_read(&self, now: Duration) -> Vec<SocketAddr> {
        let since = self.leader_since.unwrap_or(Duration::MAX);
        if now < since.saturating_add(TAKEOVER_DELAY) {
            return Vec::new();
        }
        self.stores.keys().copied().collect()
    }

    /// Learns a store's clock.
    pub fn record_clock(&mut self, now: Duration, store: SocketAddr, clock_ms: u64) {
        if clock_ms > 0 {
            let offset_ms = clock_ms as i64 - now.as_millis() as i64;
            self.clock_offsets_ms.insert(store, offset_ms);
        }
    }

    /// Returns the engines' clock, rather too early than too late; 0 when it is unknown.
    pub fn engine_clock_ms(&self, now: Duration) -> u64 {
        // A late answer tells an earlier time than it is, and a single clock may be ahead.
        let offset_ms = self.clock_offsets_ms.values().min();
        offset_ms.map_or(0, |a| (now.as_millis() as i64 + a).max(0) as u64)
    }

    /// Takes all that a store holds.
    pub fn apply_listing(
        &mut self,
        now: Duration,
        address: SocketAddr,
        epoch: u64,
        held: &[(PartKey, u32)],
        partial: &[(PartKey, u32)],
    ) {
        self.update_epoch(now, address, epoch);
        let known: Vec<PartKey> = match self.stores.get(&address) {
            Some(store) => store.parts.keys().cloned().collect(),
            None => return,
        };
        let listed: HashSet<&PartKey> = held.iter().map(|(key, _)| key).collect();
        for key in known {
            if !listed.contains(&key) {
                self.remove(address, &key);
            }
        }
        for (key, tokens) in held {
            self.add(now, address, key, *tokens);
        }
        if let Some(store) = self.stores.get_mut(&address) {
            let unchanged_since = |key: &PartKey, done: u32| match store.partial.get(key) {
                Some((before, since)) if *before == done => *since,
                _ => now,
            };
            let partial = partial.iter();
            store.partial = partial
                .map(|(key, done)| (key.clone(), (*done, unchanged_since(key, *done))))
                .collect();
        }
    }

    /// Takes what changed at a store.
    pub fn apply_events(
        &mut self,
        now: Duration,
        address: SocketAddr,
        epoch: u64,
        events: &[StoreEvent],
    ) {
        self.update_epoch(now, address, epoch);
        for event in events {
            if event.held {
                self.add(now, address, &event.key, event.tokens);
            } else {
                self.remove(address, &event.key);
            }
        }
    }

    /// Learns that a store doesn't answer; nothing is fetched from it until it does.
    pub fn mark_unreachable(&mut self, address: SocketAddr) {
        self.withdraw_all(address);
        if let Some(store) = self.stores.get_mut(&address) {
            store.epoch = None;
            store.accepts_from = Duration::MAX;
            self.statuses_changed = true;
        }
    }

    /// A start of the store that wasn't known holds nothing of before. Nothing is saved to it
    /// until no entry can name a part any more that it held before.
    fn update_epoch(&mut self, now: Duration, address: SocketAddr, epoch: u64) {
        let known = self.stores.get(&address).map(|s| s.epoch);
        if known.is_none() || known == Some(Some(epoch)) {
            return;
        }
        self.withdraw_all(address);
        if let Some(store) = self.stores.get_mut(&address) {
            store.epoch = Some(epoch);
            store.accepts_from = now + FREE_DELAY;
            store.partial.clear();
            self.statuses_changed = true;
        }
    }

    fn withdraw_all(&mut self, address: SocketAddr) {
        if let Some(store) = self.stores.get_mut(&address) {
            let keys = store.parts.drain().map(|(key, _)| (address, key));
            self.pending.removed.extend(keys);
        }
    }

    fn add(&mut self, now: Duration, address: SocketAddr, key: &PartKey, tokens: u32) {
        let Some(store) = self.stores.get_mut(&address) else {
            return;
        };
        let is_tombstoned = store
            .freed_at
            .get(key)
            .is_some_and(|at| now < *at + TOMBSTONE_RETENTION);
        if is_tombstoned || store.parts.contains_key(key) {
            return;
        }
        store.partial.remove(key);
        store.parts.insert(
            key.clone(),
            Part {
                tokens,
                used_at: now,
                withdrawn_at: None,
            },
        );
        self.pending.added.push(StoredPart {
            store: address,
            key: key.clone(),
            tokens,
        });
    }

    fn remove(&mut self, address: SocketAddr, key: &PartKey) {
        let store = self.stores.get_mut(&address);
        if store.is_some_and(|s| s.parts.remove(key).is_some()) {
            self.pending.removed.push((address, key.clone()));
        }
    }

    /// Learns which parts requests used.
    pub fn record_use(&mut self, now: Duration, keys: &[PartKey]) {
        for store in self.stores.values_mut() {
            for key in keys {
                if let Some(part) = store.parts.get_mut(key) {
                    part.used_at = now;
                }
            }
        }
    }

    /// Learns which weights were named last. Parts name their weights but no model, so that parts
    /// are outdated once they are older than the newest weights of every model.
    pub fn set_named_weights(&mut self, named: &[ModelWeights]) {
        self.outdated_below = named.iter().map(|w| w.version).min().unwrap_or(0);
    }

    /// Withdraws what has to leave and returns the orders that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<FreePartsOrder> {
        let clock = self.engine_clock_ms(now);
        let mut orders = Vec::new();
        for (address, store) in &mut self.stores {
            let accepts = store.accepts_from <= now;
            if accepts && store.accepts_from > Duration::ZERO {
                store.accepts_from = Duration::ZERO;
                self.statuses_changed = true;
            }
            store
                .freed_at
                .retain(|_, at| now < *at + TOMBSTONE_RETENTION);
            let withdrawn = store.withdraw_parts(now, self.outdated_below);
            let removed = withdrawn.into_iter().map(|key| (*address, key));
            self.pending.removed.extend(removed);
            let Some(epoch) = store.epoch.filter(|_| clock > 0) else {
                continue;
            };
            let parts = store.take_parts_to_free(now);
            if !parts.is_empty() {
                orders.push(FreePartsOrder {
                    store: *address,
                    epoch,
                    until_ms: clock + FREE_ORDER_VALIDITY_MS,
                    parts,
                });
            }
        }
        orders
    }

    /// Takes the changes since the last call, if there are any.
    pub fn take_update(&mut self) -> Option<DirectoryUpdate> {
        let nothing = self.pending.added.is_empty() && self.pending.removed.is_empty();
        if nothing && !self.statuses_changed {
            return None;
        }
        self.statuses_changed = false;
        self.snapshot = None;
        let from = self.number;
        self.number += 1;
        let pending = std::mem::take(&mut self.pending);
        let store_statuses = self.store_statuses();
        let before = std::mem::take(&mut self.sent_statuses);
        let is_new = |s: &&StoreStatus| !before.contains(s);
        let stores = store_statuses.iter().filter(is_new).cloned().collect();
        let gone = before.iter().map(|s| s.address);
        let gone = gone.filter(|a| !store_statuses.iter().any(|s| s.address == *a));
        let stores_gone = gone.collect();
        self.sent_statuses = store_statuses;
        Some(DirectoryUpdate {
            from,
            number: self.number,
            stores,
            stores_gone,
            ..pending
        })
    }

    /// Returns the whole directory for an entry that holds another number. Entries that join
    /// together share one, since a hundred of them would fill this instance.
    pub fn snapshot(&mut self) -> Arc<DirectoryUpdate> {
        let known = self.snapshot.take();
        let snapshot = known.unwrap_or_else(|| Arc::new(self.build_snapshot()));
        self.snapshot = Some(snapshot.clone());
        snapshot
    }

    fn build_snapshot(&self) -> DirectoryUpdate {
        let parts = self.stores.iter().flat_map(|(address, store)| {
            let held = store.parts.iter();
            held.filter(|(_, p)| p.withdrawn_at.is_none())
                .map(|(key, part)| StoredPart {
                    store: *address,
                    key: key.clone(),
                    tokens: part.tokens,
                })
        });
        DirectoryUpdate {
            from: 0,
            number: self.number,
            stores: self.store_statuses(),
            stores_gone: Vec::new(),
            added: parts.collect(),
            removed: Vec::new(),
        }
    }

    /// Returns the number of the directory; 0 while none is led.
    pub fn number(&self) -> u64 {
        self.number
    }

    fn store_statuses(&self) -> Vec<StoreStatus> {
        let stores = self.stores.iter().filter(|(_, s)| s.epoch.is_some());
        stores
            .map(|(address, s)| StoreStatus {
                address: *address,
                data_centre: s.data_centre.clone(),
                capacity: s.capacity,
                link_mbps: s.link_mbps,
                first_ms: s.first_ms,
                fill: (s.utilisation() / UTILISATION_STEP).round() * UTILISATION_STEP,
                accepts: s.accepts_from == Duration::ZERO,
            })
            .collect()
    }
}
