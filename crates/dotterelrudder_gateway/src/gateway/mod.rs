//! The gateway: all decisions of an entry behind one type.

mod admission_control;
mod blocked_parts;
mod cold_runners;
mod request_limits;
mod request_placement;
mod runner_estimate;
mod runner_selection;
mod stream_versions;

pub use request_limits::LIMIT_REPORT_INTERVAL;

use crate::Admission;
use crate::CacheGroups;
use crate::ConfirmedLease;
use crate::EngineEstimate;
use crate::EntryCount;
use crate::GatewaySettings;
use crate::LimitReports;
use crate::NamedWeights;
use crate::PartWatch;
use crate::PauseDetector;
use crate::Prompt;
use crate::RetryBudget;
use crate::RouteTable;
use crate::RunOutcome;
use crate::RunnerCondition;
use crate::RunnerKey;
use crate::RunnerTable;
use crate::StoredParts;
use crate::StreamOriginReports;
use crate::SuspicionChange;
use compact_str::CompactString;
use dotterelrudder_config::deployment::AccountEntry;
use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::LeavingRunner;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::DirectoryUpdate;
use dotterelrudder_wire::FleetState;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerRecord;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use stream_versions::ServiceVersions;

/// The delay until a refused caller may retry when no better estimate exists: about the time that a
/// backend server takes to restart.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The shortest retry delay in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The decisions of one entry, and the state that they are based on: configuration, runners, load
/// reports, stored parts and retry budgets.
#[derive(Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    configuration: DeploymentConfiguration,
    routes: RouteTable,
    accounts: HashMap<AccountKeyHash, Arc<AccountEntry>>,
    cache_groups: CacheGroups,
    runners: RunnerTable,
    /// When the current sample of candidate runners was drawn.
    sampled_at: Option<Duration>,
    /// Counts calls of [`Gateway::place`]; the round-robin policy uses it.
    placements: u32,
    /// The weight versions named for each model.
    weights: BTreeMap<CompactString, NamedWeights>,
    /// The lease on the configuration and its API keys.
    lease: ConfirmedLease,
    budgets: HashMap<ServiceName, RetryBudget>,
    /// The number of entries in the fleet.
    entries: EntryCount,
    engine_estimate: EngineEstimate,
    stored_parts: StoredParts,
    limit_reports: LimitReports,
    part_watch: PartWatch,
    stream_origins: StreamOriginReports,
    versions: HashMap<ServiceName, ServiceVersions>,
    /// When the query was sent whose answer last confirmed the list of backend servers.
    versions_confirmed_at: Option<Duration>,
    /// When the limits of all runners were last reported.
    limits_reported_at: Duration,
    /// The services whose runners warm up, and what a cold runner takes in requests a second.
    warm_ups: HashMap<ServiceName, f64>,
    pauses: PauseDetector,
    /// Where this entry's parts of reserves begin, from 0 to 1.
    reserve_phase: f64,
    rng: ChaCha8Rng,
}

impl Gateway {
    /// Creates a gateway without a configuration; it refuses all requests until the first
    /// [`Gateway::on_fleet_state`]. `seed` seeds the random number generator
    /// and has to differ between two starts of an entry.
    pub fn new(settings: GatewaySettings, seed: u64) -> Self {
        Self {
            settings,
            configuration: DeploymentConfiguration::default(),
            routes: RouteTable::default(),
            accounts: HashMap::new(),
            cache_groups: CacheGroups::default(),
            runners: RunnerTable::default(),
            sampled_at: None,
            placements: 0,
            weights: BTreeMap::new(),
            lease: ConfirmedLease::default(),
            budgets: HashMap::new(),
            entries: EntryCount::default(),
            engine_estimate: EngineEstimate::default(),
            stored_parts: StoredParts::default(),
            limit_reports: LimitReports::new(seed << 32),
            part_watch: PartWatch::default(),
            stream_origins: StreamOriginReports::default(),
            versions: HashMap::new(),
            versions_confirmed_at: None,
            limits_reported_at: Duration::ZERO,
            warm_ups: HashMap::new(),
            pauses: PauseDetector::default(),
            reserve_phase: ChaCha8Rng::seed_from_u64(!seed).random(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies the state sent by the leading control instance. `queried_at` is the time at which the
    /// entry sent the query that this state replies to. Returns whether the configuration changed.
    pub fn on_fleet_state(
        &mut self,
        now: Duration,
        state: FleetState,
        queried_at: Option<Duration>,
    ) -> bool {
        let mut changed = false;
        if let Some(cfg) = state.configuration {
            if cfg.version > self.configuration.version {
                self.apply_configuration(*cfg);
                changed = true;
            }
        }
        for named in state.weights {
            self.weights
                .entry(named.model)
                .or_default()
                .add(named.version, now);
        }
        self.entries.update(now, state.entries);
        if let Some(at) = queried_at {
            self.confirm_versions(now, at);
            self.runners.for_each_limited(|r| r.limit.on_confirmed(at));
            self.runners.forget_ended_limits();
            self.stored_parts
                .confirm(state.directory, at, state.engine_clock_ms, now);
        }
        // A state of an older version than the configuration in force does not confirm that
        // configuration.
        if self.configuration.version >= state.version {
            if let Some(at) = queried_at {
                self.lease.confirm(at);
            }
        }
        changed
    }

    /// Puts a configuration in force and rebuilds the tables derived from it.
    fn apply_configuration(&mut self, mut cfg: DeploymentConfiguration) {
        // A leader of an older release does not do this.
        cfg.keep_keys_required(&self.configuration);
        self.routes = RouteTable::new(&cfg.routes);
        self.cache_groups = CacheGroups::new(&cfg.accounts);
        self.accounts.clear();
        for account in &cfg.accounts {
            let entry = Arc::new(account.clone());
            for key in &account.keys {
                self.accounts.insert(*key, entry.clone());
            }
        }
        self.configuration = cfg;
    }

    /// Replaces the list of backend servers with the newest one of the platform.
    pub fn on_runners(&mut self, records: Vec<RunnerRecord>) {
        self.runners.update_list(records);
    }

    /// Replaces the evacuated data centres, whose runners get no further requests. Requests that run
    /// there complete. Returns whether they changed.
    pub fn on_evacuations(&mut self, evacuated: Vec<DataCentre>) -> bool {
        self.runners.set_evacuated(evacuated.into_iter().collect())
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        self.runners.evacuated().contains(data_centre)
    }

    /// Returns the number of evacuated data centres.
    pub fn evacuated_data_centres(&self) -> usize {
        self.runners.evacuated().len()
    }

    /// Applies an update of the directory of stored parts.
    pub fn on_directory(&mut self, update: DirectoryUpdate) {
        self.stored_parts.update(update);
    }

    /// Returns the stored parts that requests used since the last call, and clears the list.
    pub fn take_used_parts(&mut self) -> Vec<PartKey> {
        self.stored_parts.take_used()
    }

    /// Applies load reports. Returns the runners that became suspected, or are no longer suspected.
    pub fn on_load_reports(
        &mut self,
        now: Duration,
        loads: Vec<RunnerLoad>,
    ) -> Vec<SuspicionChange> {
        if self.has_warm_ups() {
            self.runners.note_other_starts(now, &loads, &self.warm_ups);
        }
        self.runners.on_load_reports(loads, now)
    }

    /// Returns whether a runner is suspected or reported unreachable by its side.
    pub fn may_be_unreachable(&self, now: Duration, runner: RunnerKey) -> bool {
        let runner = self.runners.get(runner);
        runner.is_some_and(|r| r.may_be_unreachable(now))
    }

    /// Returns whether a runner is known to leave.
    pub fn is_leaving(&self, runner: RunnerKey) -> bool {
        let runner = self.runners.get(runner);
        runner.is_some_and(|r| r.record.leaving)
    }

    /// Records that a runner is leaving: from now on nothing new is sent to it, whatever the list says
    /// of this start of it. Returns whether this was not known.
    pub fn add_leaving_runner(&mut self, runner: LeavingRunner) -> bool {
        self.runners.add_leaving(runner)
    }

    /// Returns the runners that stated to any entry that they are leaving.
    pub fn leaving_runners(&self) -> Vec<LeavingRunner> {
        self.runners.leaving()
    }

    /// Returns the number of runners in each condition.
    pub fn count_runners(
        &self,
        now: Duration,
    ) -> [(RunnerCondition, usize); RunnerCondition::ALL.len()] {
        self.runners.count(now)
    }

    /// Returns the configuration in force; its version is 0 until the first one arrives.
    pub fn configuration(&self) -> &DeploymentConfiguration {
        &self.configuration
    }

    /// Returns the time since the query that control confirmed last.
    pub fn confirmation_age(&self, now: Duration) -> Option<Duration> {
        self.lease.age(now)
    }

    /// Returns whether the entry can serve requests that need an API key.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.configuration.version > 0 && self.lease.holds(now, self.settings.key_lease)
    }

    /// Counts a request that is sent to a runner. Returns its tokens to prefill, which the caller
    /// later passes to [`Gateway::prefill_finished`].
    pub fn sent(&mut self, now: Duration, runner: RunnerKey, prompt: Option<&Prompt>) -> f64 {
        let found = self.runners.get_mut(runner);
        found.map_or(0.0, |r| r.sent(prompt, now))
    }

    /// Removes a request's tokens from the runner's prefill backlog, once its response has started
    /// or its attempt has ended.
    pub fn prefill_finished(&mut self, runner: RunnerKey, unread: f64) {
        if let Some(r) = self.runners.get_mut(runner) {
            r.prefilled(unread);
        }
    }

    /// Records the outcome of an attempt at a runner.
    pub fn ended(&mut self, now: Duration, runner: RunnerKey, outcome: RunOutcome) {
        if let Some(r) = self.runners.get_mut(runner) {
            r.ended();
            r.health.record_outcome(now, outcome);
            if outcome == RunOutcome::Answered {
                r.connections.release(now);
            }
        }
    }

    /// Sends a runner no requests for the time that it requested (`Retry-After`).
    pub fn back_off(&mut self, now: Duration, runner: RunnerKey, requested: Duration) {
        if let Some(r) = self.runners.get_mut(runner) {
            r.health.back_off(now, requested);
        }
    }

    /// Takes one retry from the service's retry budget. Returns whether there was one left.
    pub fn may_repeat(&mut self, now: Duration, service: &ServiceName) -> bool {
        let s = &self.settings;
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.take(
            now,
            s.retry_window,
            s.retry_ratio,
            s.retry_slack,
            self.entries.get(),
        )
    }

    /// Returns the urgency of a request at a runner, 0 first. The account's rank takes precedence
    /// over the route's.
    pub fn urgency(&self, admission: &Admission) -> u8 {
        let of_account = admission.account.as_ref().and_then(|a| a.rank);
        let rank = of_account.map_or(0, |r| r.min(2));
        rank * 3 + admission.route.rank.min(2)
    }
}
