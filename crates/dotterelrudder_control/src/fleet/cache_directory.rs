//! The leader's directory of stored prompt parts, and when parts are withdrawn and freed.
//!
//! A store keeps each part until it is ordered to free it, and does not know who is reading. If a
//! part were freed during a fetch, or written again after a restart of the store, the reader would
//! mix KV cache of different prompts. Each part therefore passes through four states:
//!
//! 1. being written: not published;
//! 2. held: published to entries, which may have runners fetch it;
//! 3. withdrawn: removed from the published directory; fetches may still be in progress;
//! 4. freed.
//!
//! Entries use a directory for [`DIRECTORY_LEASE`], and each fetch ends within [`FETCH_LIMIT`]; a
//! part is freed only after both have passed.

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

/// Margin for the error of the estimated engine clock and for message delay.
const CLOCK_AND_DELAY_MARGIN: Duration = Duration::from_millis(500);
/// Time from the withdrawal of a part until it is freed.
pub(super) const FREE_DELAY: Duration = Duration::from_millis(5_200);
/// Validity of an order to free parts, in milliseconds of the engines' clock.
const FREE_ORDER_VALIDITY_MS: u64 = 250;
/// How long reports of a freed part are ignored, because they may predate the freeing.
const TOMBSTONE_RETENTION: Duration = Duration::from_millis(1_500);
/// Step to which a store's published fill ratio is rounded, so that not every stored part changes
/// the store's status.
const UTILISATION_STEP: f32 = 0.01;
/// Delay before a new leader reads stores and publishes parts, so that no free order of an earlier
/// leader is still valid.
const TAKEOVER_DELAY: Duration = Duration::from_millis(350);

const _: () = assert!(
    FREE_DELAY.as_millis()
        >= DIRECTORY_LEASE.as_millis()
            + FETCH_LIMIT.as_millis()
            + CLOCK_AND_DELAY_MARGIN.as_millis()
);

/// The leader's directory of the parts that stores hold.
#[derive(Debug, Default)]
pub struct CacheDirectory {
    leader_since: Option<Duration>,
    stores: BTreeMap<SocketAddr, Store>,
    /// Offset of each store's clock from this process's clock.
    clock_offsets_ms: BTreeMap<SocketAddr, i64>,
    number: u64,
    /// Changes since the last update was taken.
    pending: DirectoryUpdate,
    /// Store statuses as of the last update.
    sent_statuses: Vec<StoreStatus>,
    /// Parts of weight versions below this one are outdated.
    outdated_below: u64,
    /// The snapshot of the current number, once one was requested.
    snapshot: Option<Arc<DirectoryUpdate>>,
    statuses_changed: bool,
}

impl CacheDirectory {
    /// Starts an empty directory under a new leadership. Its numbers increase from `number`, which
    /// no earlier leader used.
    pub fn begin_leadership(&mut self, now: Duration, number: u64) {
        *self = Self {
            leader_since: Some(now),
            number: number.max(1),
            ..Self::default()
        };
    }

    /// Adds the managed stores of a configuration and removes the stores that it does not declare.
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

    /// Returns the stores to read; empty until `TAKEOVER_DELAY` has passed.
    pub fn stores_to_read(&self, now: Duration) -> Vec<SocketAddr> {
        let since = self.leader_since.unwrap_or(Duration::MAX);
        if now < since.saturating_add(TAKEOVER_DELAY) {
            return Vec::new();
        }
        self.stores.keys().copied().collect()
    }

    /// Records the engines' clock as a store reported it; 0 means that it reported none.
    pub fn record_clock(&mut self, now: Duration, store: SocketAddr, clock_ms: u64) {
        if clock_ms > 0 {
            let offset_ms = clock_ms as i64 - now.as_millis() as i64;
            self.clock_offsets_ms.insert(store, offset_ms);
        }
    }

    /// Returns a lower estimate of the engines' clock in milliseconds; 0 when it is unknown.
    pub fn engine_clock_ms(&self, now: Duration) -> u64 {
        // A delayed report makes the clock look behind, and one store's clock may run ahead.
        let offset_ms = self.clock_offsets_ms.values().min();
        offset_ms.map_or(0, |a| (now.as_millis() as i64 + a).max(0) as u64)
    }

    /// Replaces the known contents of a store by a full listing.
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

    /// Applies the changes that a store reports.
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

    /// Withdraws all parts of a store that does not answer; nothing is fetched from it until it is
    /// read again.
    pub fn mark_unreachable(&mut self, address: SocketAddr) {
        self.withdraw_all(address);
        if let Some(store) = self.stores.get_mut(&address) {
            store.epoch = None;
            store.accepts_from = Duration::MAX;
            self.statuses_changed = true;
        }
    }

    /// Handles a restart of a store, seen by its new epoch: its contents are lost, and nothing is
    /// saved to it until no entry can still have a part fetched that it held before.
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

    /// Records that requests used these parts, which delays their withdrawal.
    pub fn record_use(&mut self, now: Duration, keys: &[PartKey]) {
        for store in self.stores.values_mut() {
            for key in keys {
                if let Some(part) = store.parts.get_mut(key) {
                    part.used_at = now;
                }
            }
        }
    }

    /// Sets the weight version below which parts are outdated. A part's key holds a weight version
    /// but no model, so that the lowest version named for any model counts.
    pub fn set_named_weights(&mut self, named: &[ModelWeights]) {
        self.outdated_below = named.iter().map(|w| w.version).min().unwrap_or(0);
    }

    /// Withdraws parts of stores that are too full, and returns the free orders that are due.
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

    /// Takes the changes since the last call; `None` when there are none.
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

    /// Returns a snapshot of the directory. Entries that join at the same time share one, since a
    /// hundred copies would exhaust the memory of this instance.
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

    /// Returns the number of the directory, which each update increases; 0 before the first
    /// leadership.
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
