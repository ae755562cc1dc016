//! Stored parts: the entry's copy of the directory of stored KV cache, and the fetches and saves
//! planned with it.
//!
//! Load pattern: far more sessions are active than the runners' memory holds, so the shared parts
//! of a prompt are usually evicted before the session's next request. Each shared part is saved
//! once, after its first prefill, and fetched from then on; a fetch takes a fraction of the time of
//! a prefill.
//!
//! A request may only name a stored part while the leader's confirmation of the directory is
//! recent, and only with a fetch limit that ends before the leader frees parts that it withdrew;
//! see docs/design/platform.md.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelrudder_types::DataCentre;
use dotterelrudder_wire::DirectoryUpdate;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::StoreStatus;
use dotterelrudder_wire::DIRECTORY_LEASE;
use dotterelrudder_wire::FETCH_LIMIT;
use smallvec::SmallVec;

use crate::placement::memory_pressure;
use crate::rendezvous_score;
use crate::CachePlan;
use crate::ConfirmedLease;
use crate::Prompt;

/// The time limit of a fetch while memory is free, as a multiple of the request's objective. An
/// idle runner prefills what has not arrived by then and still meets the objective.
const FETCH_LIMIT_OBJECTIVES: f64 = 0.5;
/// The same under full memory pressure. Callers disconnect after four objectives, and a part whose
/// fetch is abandoned needs a prefill, which delays every other request of the runner.
const FETCH_LIMIT_OBJECTIVES_UNDER_PRESSURE: f64 = 2.0;
/// The shortest time limit of a fetch; a fetch with less time is not worth requesting.
const MIN_FETCH_LIMIT: Duration = Duration::from_millis(40);
/// How long this entry does not save a part again; by then the directory lists it.
const SAVE_RETRY_AFTER: Duration = Duration::from_secs(3);
/// The factor by which a transfer between data centres takes longer.
const CROSS_DATA_CENTRE_FACTOR: f64 = 2.0;
/// The length in tokens up to which the start of a transfer takes longer than the transfer of the
/// bytes, at the slower stores of the current deployments.
const SHORT_PART_TOKENS: u32 = 4_096;
/// The share of a store's capacity above which nothing more is saved to it. Other entries may have
/// saves in progress, and a part that does not fit is lost.
const MAX_STORE_UTILISATION: f32 = 0.975;
/// The length in tokens below which a prefill is faster than the start of a transfer.
const MIN_PART_TOKENS: u32 = 64;
/// The number of remembered saves at which expired ones are removed.
const MAX_RECENT_SAVES: usize = 4_096;

/// The directory of stored parts as the leader sent it.
#[derive(Debug, Default)]
pub struct StoredParts {
    /// The version of the directory held; 0 if none.
    number: u64,
    lease: ConfirmedLease,
    stores: Vec<StoreStatus>,
    /// The stores that hold each part.
    parts: HashMap<PartKey, SmallVec<[SocketAddr; 2]>>,
    /// The engines' clock in milliseconds, and when it was received.
    engine_clock: Option<(u64, Duration)>,
    /// When this entry last requested to save a part.
    recent_saves: HashMap<PartKey, Duration>,
    /// Stored parts that requests named since the last [`Self::take_used`].
    used: HashSet<PartKey>,
}

impl StoredParts {
    /// Applies an update. If the update does not start from the version held, drops the directory
    /// and returns false.
    pub fn update(&mut self, update: DirectoryUpdate) -> bool {
        if update.from == 0 {
            self.parts.clear();
            self.stores.clear();
            self.lease = ConfirmedLease::default();
        } else if update.from != self.number {
            self.number = 0;
            self.parts.clear();
            self.stores.clear();
            return false;
        }
        self.number = update.number;
        for store in update.stores {
            self.stores.retain(|s| s.address != store.address);
            self.stores.push(store);
        }
        self.stores
            .retain(|s| !update.stores_gone.contains(&s.address));
        for part in update.added {
            let holders = self.parts.entry(part.key).or_default();
            if !holders.contains(&part.store) {
                holders.push(part.store);
            }
        }
        for (store, key) in update.removed {
            if let Some(holders) = self.parts.get_mut(&key) {
                holders.retain(|s| *s != store);
                if holders.is_empty() {
                    self.parts.remove(&key);
                }
            }
        }
        true
    }

    /// Records that the leader confirmed the directory version `number` in reply to the query sent
    /// at `queried_at`, and the time of the engines' clock.
    pub fn confirm(&mut self, number: u64, queried_at: Duration, clock_ms: u64, now: Duration) {
        if number == self.number && number > 0 {
            self.lease.confirm(queried_at);
        }
        if clock_ms > 0 {
            self.engine_clock = Some((clock_ms, now));
        }
    }

    /// Returns whether the directory may be used.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.number > 0 && self.engine_clock.is_some() && self.lease.holds(now, DIRECTORY_LEASE)
    }

    /// Returns whether a part is in a store.
    pub fn holds(&self, key: &PartKey) -> bool {
        self.parts.contains_key(key)
    }

    /// Returns the number of stored parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is stored.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Plans the fetches and saves of a request to a runner in a data centre. The time limit of its
    /// fetches is `time_limit` or, if that is longer, the estimated time to the first token.
    pub fn plan(
        &mut self,
        now: Duration,
        prompt: &Prompt,
        salt: &str,
        data_centre: &DataCentre,
        time_limit: Duration,
        expected: Duration,
    ) -> CachePlan {
        let mut plan = CachePlan::default();
        if !self.is_usable(now) {
            return plan;
        }
        // Even for a request that misses its objective, a fetch that may finish saves the runner a
        // prefill.
        let limit = time_limit.max(expected);
        let limit = limit.clamp(MIN_FETCH_LIMIT, FETCH_LIMIT);
        let shared = prompt.parts.len().saturating_sub(1);
        for (i, part) in prompt.parts.iter().enumerate() {
            let key = PartKey {
                salt: salt.into(),
                part: part.id.clone(),
            };
            let shared = i < shared && part.tokens >= MIN_PART_TOKENS;
            let stored = shared && self.holds(&key);
            let fetch = if stored {
                self.fetch_source(&key, data_centre)
            } else {
                None
            };
            let save = if shared && !stored {
                self.choose_save_store(now, &key, part.tokens)
            } else {
                None
            };
            if stored {
                self.used.insert(key);
            }
            plan.fetch.push(fetch);
            plan.save.push(save);
        }
        plan.until_ms = self
            .engine_clock
            .map(|(ms, at)| ms + (now.saturating_sub(at) + limit).as_millis() as u64);
        plan
    }

    /// Returns the store to fetch a part from, preferably one in the runner's data centre.
    fn fetch_source(&self, key: &PartKey, data_centre: &DataCentre) -> Option<SocketAddr> {
        let holders = self.parts.get(key)?;
        let is_near = |a: &&SocketAddr| {
            let store = self.stores.iter().find(|s| s.address == **a);
            store.is_some_and(|s| s.data_centre == *data_centre)
        };
        let source = holders.iter().find(is_near).or(holders.first()).copied()?;
        Some(source)
    }

    /// Returns the store to save a part to.
    ///
    /// Short parts go to the stores with the fastest links while these have room, because the start
    /// of a transfer dominates their time; long parts go to the others. Within such a group,
    /// rendezvous hashing weighted by capacity decides, so that entries agree without
    /// communication.
    fn choose_save_store(
        &mut self,
        now: Duration,
        key: &PartKey,
        tokens: u32,
    ) -> Option<SocketAddr> {
        let saved = self.recent_saves.get(key);
        if saved.is_some_and(|at| now.saturating_sub(*at) < SAVE_RETRY_AFTER) {
            return None;
        }
        let fastest = self.stores.iter().map(|s| s.link_mbps).fold(0.0, f64::max);
        let is_short = tokens <= SHORT_PART_TOKENS;
        let open = |s: &&StoreStatus| s.accepts && s.capacity > 0 && s.fill < MAX_STORE_UTILISATION;
        let in_tier = |s: &&StoreStatus| (s.link_mbps >= fastest) == is_short;
        let open_stores = || self.stores.iter().filter(open);
        let store = choose_by_capacity(open_stores().filter(in_tier), key)
            .or_else(|| choose_by_capacity(open_stores(), key))?;
        if self.recent_saves.len() >= MAX_RECENT_SAVES {
            self.recent_saves
                .retain(|_, at| now.saturating_sub(*at) < SAVE_RETRY_AFTER);
        }
        self.recent_saves.insert(key.clone(), now);
        Some(store)
    }

    /// Returns the data centre of a store that holds a part.
    pub fn data_centre_of(&self, key: &PartKey) -> Option<&DataCentre> {
        let holders = self.parts.get(key)?;
        let store = self.stores.iter().find(|s| holders.contains(&s.address))?;
        Some(&store.data_centre)
    }

    /// Returns the time that a runner in a data centre takes to fetch the shared parts of a prompt,
    /// in milliseconds; `None` if they are not all stored.
    pub fn fetch_ms(
        &self,
        now: Duration,
        prompt: &Prompt,
        salt: &str,
        data_centre: &DataCentre,
        token_bytes: u64,
    ) -> Option<f64> {
        let shared = prompt.parts.len().checked_sub(1)?;
        if shared == 0 || !self.is_usable(now) {
            return None;
        }
        let mut total = 0.0;
        for part in prompt.parts.iter().take(shared) {
            let key = PartKey {
                salt: salt.into(),
                part: part.id.clone(),
            };
            let source = self.fetch_source(&key, data_centre)?;
            let store = self.stores.iter().find(|s| s.address == source)?;
            let bits = f64::from(part.tokens) * token_bytes as f64 * 8.0;
            let link = bits / (store.link_mbps.max(1.0) * 1_000.0);
            let crossing = if store.data_centre == *data_centre {
                1.0
            } else {
                CROSS_DATA_CENTRE_FACTOR
            };
            total += store.first_ms + link * crossing;
        }
        Some(total)
    }

    /// Returns the parts used since the last call, and clears the list.
    pub fn take_used(&mut self) -> Vec<PartKey> {
        self.used.drain().collect()
    }
}

/// Returns the time limit of a fetch for a request's objective and the mean memory utilisation of
/// the service's open runners.
pub fn fetch_time_limit(objective: Duration, mean_utilisation: f64) -> Duration {
    let more = (FETCH_LIMIT_OBJECTIVES_UNDER_PRESSURE - FETCH_LIMIT_OBJECTIVES)
        * memory_pressure(mean_utilisation);
    objective.mul_f64(FETCH_LIMIT_OBJECTIVES + more)
}

/// Selects a store by rendezvous hashing weighted by capacity.
fn choose_by_capacity<'a, I>(stores: I, key: &PartKey) -> Option<SocketAddr>
where
    I: Iterator<Item = &'a StoreStatus>,
{
    let scored = stores.map(|s| {
        let rank = rendezvous_score(&key.part, &s.address.to_string());
        // The weighted form of rendezvous hashing: -weight / ln(uniform).
        let uniform = (rank as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        (-(s.capacity as f64) / uniform.ln(), s.address)
    });
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, address)| address)
}
