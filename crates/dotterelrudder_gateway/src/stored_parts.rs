//! What an entry knows of the stores, and what it makes of it for a request.
//!
//! Load pattern: far more sessions are in use than the runners' memories hold, so that a prompt's
//! shared parts are mostly gone when its next request comes. Whatever is shared is saved once, at
//! its first reading, and fetched from then on; fetching a part costs a fraction of reading it.
//!
//! A part may be named only while the leader vouches for the directory, and only for a time that
//! ends before the leader frees anything that it withdrew; see docs/design/platform.md.

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

use crate::memory_limit::memory_pressure;
use crate::rendezvous_score;
use crate::CachePlan;
use crate::ConfirmedLease;
use crate::Prompt;

/// How many objectives a fetch may take while memories are empty: a runner that has little to do
/// reads what isn't there by then and is still in time.
const FETCH_LIMIT_OBJECTIVES: f64 = 0.5;
/// The same while memories are full everywhere: callers leave after four, and a part whose fetch is
/// thrown away is read instead, which makes every other request of the runner later.
const FETCH_LIMIT_OBJECTIVES_UNDER_PRESSURE: f64 = 2.0;
/// A fetch that can't take longer than this isn't worth asking for.
const MIN_FETCH_LIMIT: Duration = Duration::from_millis(40);
/// How long a part isn't saved again by this entry, until the directory tells of it.
const SAVE_RETRY_AFTER: Duration = Duration::from_secs(3);
/// How much longer a transfer between data centres takes.
const CROSS_DATA_CENTRE_FACTOR: f64 = 2.0;
/// Parts up to this length wait longer for a transfer to begin than for its bytes, at the slower
/// stores of today's deployments.
const SHORT_PART_TOKENS: u32 = 4_096;
/// The share of a store's capacity beyond which nothing more is sent to it: some is on its way from
/// other entries, and a part without room is lost.
const MAX_STORE_UTILISATION: f32 = 0.975;
/// Parts shorter than this are read faster than a transfer is set up.
const MIN_PART_TOKENS: u32 = 64;
/// Saves remembered at most.
const MAX_RECENT_SAVES: usize = 4_096;

/// The directory of stored parts as the leader told it.
#[derive(Debug, Default)]
pub struct StoredParts {
    number: u64,
    lease: ConfirmedLease,
    stores: Vec<StoreStatus>,
    parts: HashMap<PartKey, SmallVec<[SocketAddr; 2]>>,
    engine_clock: Option<(u64, Duration)>,
    recent_saves: HashMap<PartKey, Duration>,
    used: HashSet<PartKey>,
}

impl StoredParts {
    /// Takes an update; false when it doesn't fit what is held, which is then dropped.
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

    /// Learns that the leader confirms a directory, and the engines' clock.
    pub fn confirm(&mut self, number: u64, asked_at: Duration, clock_ms: u64, now: Duration) {
        if number == self.number && number > 0 {
            self.lease.confirm(asked_at);
        }
        if clock_ms > 0 {
            self.engine_clock = Some((clock_ms, now));
        }
    }

    /// Returns whether the directory may be used.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.number > 0 && self.engine_clock.is_some() && self.lease.holds(now, DIRECTORY_LEASE)
    }

    /// Returns whether a part can be fetched from a store.
    pub fn holds(&self, key: &PartKey) -> bool {
        self.parts.contains_key(key)
    }

    /// Returns how many parts can be fetched.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether nothing can be fetched.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Plans fetches and saves for a request to a runner in a data centre; a fetch may take
    /// `patience`, or as long as the first token is expected to.
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
        // A request that is late anyway still loads its runner less when its fetch may end.
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

    /// Returns the store to fetch a part from, one near the runner first.
    fn fetch_source(&self, key: &PartKey, data_centre: &DataCentre) -> Option<SocketAddr> {
        let holders = self.parts.get(key)?;
        let is_near = |a: &&SocketAddr| {
            let store = self.stores.iter().find(|s| s.address == **a);
            store.is_some_and(|s| s.data_centre == *data_centre)
        };
        let source = holders.iter().find(is_near).or(holders.first()).copied()?;
        Some(source)
    }

    /// Returns the store that a part is saved to.
    ///
    /// Short parts go to the fastest stores while these have room, since waiting for a transfer to
    /// begin costs them most; long ones go to the others. Within a tier a hash decides in
    /// proportion to the capacities, so that entries agree without talking.
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

    /// Returns the data centre of the store that a part can be fetched from.
    pub fn data_centre_of(&self, key: &PartKey) -> Option<&DataCentre> {
        let holders = self.parts.get(key)?;
        let store = self.stores.iter().find(|s| holders.contains(&s.address))?;
        Some(&store.data_centre)
    }

    /// Returns how long fetching a prompt's shared parts takes a runner in a data centre, in
    /// milliseconds; none when they aren't all stored.
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

    /// Takes the parts that were used since the last call.
    pub fn take_used(&mut self) -> Vec<PartKey> {
        self.used.drain().collect()
    }
}

/// Returns how long a fetch may take, by the mean share of memory in use at the open runners.
pub fn fetch_time_limit(objective: Duration, mean_utilisation: f64) -> Duration {
    let more = (FETCH_LIMIT_OBJECTIVES_UNDER_PRESSURE - FETCH_LIMIT_OBJECTIVES)
        * memory_pressure(mean_utilisation);
    objective.mul_f64(FETCH_LIMIT_OBJECTIVES + more)
}

/// Draws a store by rendezvous hashing, weighted by capacity.
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
