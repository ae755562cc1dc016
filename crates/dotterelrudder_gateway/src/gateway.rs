//! The decisions of an entry behind one interface.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::format_compact;
use compact_str::CompactString;
use dotterelrudder_config::whole::AccountEntry;
use dotterelrudder_config::whole::RouteRule;
use dotterelrudder_config::whole::WholeConfiguration;
use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::DirectoryUpdate;
use dotterelrudder_wire::FleetView;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerRow;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::rendezvous_rank;
use crate::CachePlan;
use crate::CallerCall;
use crate::ConfirmedLease;
use crate::EngineEstimate;
use crate::GatewaySettings;
use crate::NamedWeights;
use crate::NotPlaced;
use crate::Placement;
use crate::Prompt;
use crate::RetryBudget;
use crate::RouteTable;
use crate::RunOutcome;
use crate::RunnerKey;
use crate::RunnerState;
use crate::RunnerTable;
use crate::StoredParts;

/// Added to the expected time of a runner in another data centre, for what crossing costs.
const CROSSING: Duration = Duration::from_millis(4);
/// The same for a service without engines, whose runners are alike but for their distance.
const CROSSING_PLAIN: Duration = Duration::from_millis(15);
/// Added for a runner that still serves older weights than the named ones.
const OLD_WEIGHTS: Duration = Duration::from_millis(250);
/// Added in proportion to the share of failures of a runner.
const FAILING: Duration = Duration::from_secs(3);
/// Added for a runner whose side stopped reporting: it may be gone with its side.
const UNREPORTED: Duration = Duration::from_millis(200);
/// Added for a runner whose first answer after an ejection is awaited.
const ON_TRIAL: Duration = Duration::from_millis(300);
/// Milliseconds that a request of a plain service takes, about.
const PLAIN_WORK_MS: f64 = 20.0;
/// Before a runner's limit on named weights, to cover the time that a request waits at its runner.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(2_500);
/// The share of a prompt's reading that the home of its session saves on average.
const HOME_SAVES: f64 = 0.6;
/// The same for the second runner in the session's order.
const SECOND_SAVES: f64 = 0.2;
/// How often the home of a session still holds what it read; memories turn over in seconds.
const HOME_HOLDS: f64 = 0.35;
/// How much a fetch counts against its own time on the link, for those that wait behind it.
const LINK_SHARED: f64 = 2.0;
/// The share of a runner's memory up to which prompts are sent to it; their answers still grow,
/// and other entries send as well.
const MEMORY_FULL: f64 = 0.9;
/// When a caller may come back to a service whose servers are all gone: about when those that
/// restart are back.
const RETRY_AFTER_RESTART: Duration = Duration::from_millis(1_000);
/// When a caller may come back at the earliest.
const RETRY_LEAST: Duration = Duration::from_millis(300);
/// By which share of the wait callers are spread, so that they don't come back together.
const RETRY_SPREAD: f64 = 0.25;

/// A request that may be served.
#[derive(Debug, Clone)]
pub struct Admission {
    /// Its route.
    pub route: Arc<RouteRule>,
    /// Its account; none on a route without keys.
    pub account: Option<Arc<AccountEntry>>,
    /// The service that takes it.
    pub service: ServiceName,
    /// The version of the configuration that allowed it.
    pub version: u64,
}

/// What is asked of [`Gateway::place`].
#[derive(Debug)]
pub struct PlacementQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The prompt, for a model's request.
    pub prompt: Option<&'a Prompt>,
    /// The account, whose KV cache may have to stay apart.
    pub account: Option<&'a AccountEntry>,
    /// Runners that were tried.
    pub tried: &'a [RunnerKey],
    /// The time within which a first part is on time.
    pub objective: Duration,
    /// How long the caller still waits.
    pub left: Duration,
}

/// The entry's decisions.
#[derive(Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    configuration: WholeConfiguration,
    routes: RouteTable,
    accounts: HashMap<AccountKeyHash, Arc<AccountEntry>>,
    runners: RunnerTable,
    weights: BTreeMap<CompactString, NamedWeights>,
    lease: ConfirmedLease,
    budgets: HashMap<ServiceName, RetryBudget>,
    entries: u32,
    estimate: EngineEstimate,
    stored: StoredParts,
    rng: ChaCha8Rng,
}

impl Gateway {
    /// Starts without a configuration.
    pub fn new(settings: GatewaySettings, seed: u64) -> Self {
        Self {
            settings,
            configuration: WholeConfiguration::default(),
            routes: RouteTable::default(),
            accounts: HashMap::new(),
            runners: RunnerTable::default(),
            weights: BTreeMap::new(),
            lease: ConfirmedLease::default(),
            budgets: HashMap::new(),
            entries: 1,
            estimate: EngineEstimate::default(),
            stored: StoredParts::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes what the leading control instance says is in force; `asked_at` is when the question
    /// was asked that it answers. Returns whether the configuration changed.
    pub fn on_view(&mut self, now: Duration, view: FleetView, asked_at: Option<Duration>) -> bool {
        let mut changed = false;
        if let Some(cfg) = view.configuration {
            if cfg.version > self.configuration.version {
                self.put_in_force(*cfg);
                changed = true;
            }
        }
        for named in view.weights {
            self.weights
                .entry(named.model)
                .or_default()
                .name(named.version, now);
        }
        self.entries = view.entries.max(1);
        if let Some(at) = asked_at {
            self.stored
                .confirm(view.directory, at, view.engine_clock_ms, now);
        }
        // A view of an older version than the one held doesn't confirm what is held.
        if self.configuration.version >= view.version {
            if let Some(at) = asked_at {
                self.lease.confirm(at);
            }
        }
        changed
    }

    fn put_in_force(&mut self, cfg: WholeConfiguration) {
        self.routes = RouteTable::new(&cfg.routes);
        self.accounts.clear();
        for account in &cfg.accounts {
            let entry = Arc::new(account.clone());
            for key in &account.keys {
                self.accounts.insert(*key, entry.clone());
            }
        }
        self.configuration = cfg;
    }

    /// Takes the platform's list of backend servers.
    pub fn on_runners(&mut self, rows: Vec<RunnerRow>) {
        self.runners.listed(rows);
    }

    /// Takes changes of the directory of stored parts.
    pub fn on_directory(&mut self, update: DirectoryUpdate) {
        self.stored.update(update);
    }

    /// Takes the stored parts that requests used since the last call.
    pub fn take_used_parts(&mut self) -> Vec<PartKey> {
        self.stored.take_used()
    }

    /// Takes load reports.
    pub fn on_loads(&mut self, now: Duration, loads: Vec<RunnerLoad>) {
        for load in loads {
            self.runners.reported(load, now);
        }
    }

    /// Returns the configuration in force; its version is 0 before the first.
    pub fn configuration(&self) -> &WholeConfiguration {
        &self.configuration
    }

    /// Returns how old the last confirmation by control is.
    pub fn confirmation_age(&self, now: Duration) -> Option<Duration> {
        self.lease.age(now)
    }

    /// Returns whether requests with keys can be served.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.configuration.version > 0 && self.lease.holds(now, self.settings.key_lease)
    }

    /// Decides whether a request may be served, and by which service.
    ///
    /// # Errors
    ///
    /// Returns why it is refused.
    pub fn admit(&mut self, now: Duration, call: &CallerCall) -> Result<Admission, Refusal> {
        if self.configuration.version == 0 {
            let detail = "no configuration was confirmed since the start";
            let mut refusal = Refusal::new(ErrorKind::NotReady, detail);
            refusal.retry_after = Some(self.spread(RETRY_AFTER_RESTART));
            return Err(refusal);
        }
        let Some(route) = self.routes.find(&call.host, &call.path) else {
            let detail = format_compact!("no route for host \"{}\" and its path", call.host);
            return Err(Refusal::new(ErrorKind::UnknownModel, detail));
        };
        let account = if route.needs_key && !self.configuration.accounts.is_empty() {
            Some(self.account_of(now, call)?)
        } else {
            None
        };
        let service = self.draw_service(&route);
        let window = self.settings.retry_window;
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.count_request(now, window);
        Ok(Admission {
            route,
            account,
            service,
            version: self.configuration.version,
        })
    }

    fn account_of(&self, now: Duration, call: &CallerCall) -> Result<Arc<AccountEntry>, Refusal> {
        // Control may have taken a key away since; without its word no key counts for long.
        if !self.lease.holds(now, self.settings.key_lease) {
            let detail = "keys can't be checked without contact to control";
            return Err(Refusal::new(ErrorKind::NotReady, detail));
        }
        let account = call.key.and_then(|key| self.accounts.get(&key));
        account.cloned().ok_or_else(|| {
            let detail = "the key is missing or belongs to no client account";
            Refusal::new(ErrorKind::UnknownKey, detail)
        })
    }

    /// Draws a wait a little longer than asked for.
    fn spread(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(1.0 + self.rng.random_range(0.0..RETRY_SPREAD))
    }

    fn draw_service(&mut self, route: &RouteRule) -> ServiceName {
        let total: u64 = route.targets.iter().map(|t| t.weight).sum();
        let mut drawn = self.rng.random_range(0..total.max(1));
        for target in &route.targets {
            if drawn < target.weight {
                return target.service.clone();
            }
            drawn -= target.weight;
        }
        let last = route.targets.last();
        last.map(|t| t.service.clone()).unwrap_or_default()
    }

    /// Chooses the runner with the smallest expected time to the first token.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no runner is open, and that the request has to wait when none has
    /// room for it.
    pub fn place(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
    ) -> Result<Placement, NotPlaced> {
        let home = self.home_order(query);
        let mut best: Option<(Duration, u64, RunnerKey)> = None;
        let mut opens: Option<Duration> = None;
        let mut loading = false;
        for (key, runner) in self.runners.of_service(query.service) {
            if query.tried.contains(&key) {
                continue;
            }
            if !runner.is_open(now) || !self.serves_weights(now, runner, query.prompt) {
                let until = runner.health.spared_until();
                if runner.listed && !runner.row.leaving && until > now {
                    opens = Some(opens.map_or(until, |o| o.min(until)));
                }
                continue;
            }
            if query.prompt.is_some() && runner.is_loading(now) {
                loading = true;
                continue;
            }
            let expected = self.expected(now, runner, query, home_place(&home, key));
            let tie = rendezvous_rank(query.service.as_str(), &runner.row.identity);
            if best.is_none_or(|(e, t, _)| (expected, t) < (e, tie)) {
                best = Some((expected, tie, key));
            }
        }
        let chosen = best.and_then(|(e, _, key)| Some((e, key, self.runners.get(key)?)));
        let Some((expected, key, runner)) = chosen else {
            // Loading takes a second or two, after which the runner takes requests again.
            if loading {
                return Err(NotPlaced::Busy);
            }
            let detail = format_compact!("no open backend server of \"{}\"", query.service);
            let mut refusal = Refusal::new(ErrorKind::NoBackendServer, detail);
            let wait = opens.map_or(RETRY_AFTER_RESTART, |at| at.saturating_sub(now));
            refusal.retry_after = Some(self.spread(wait.max(RETRY_LEAST)));
            return Err(NotPlaced::Refused(refusal));
        };
        if query
            .prompt
            .is_some_and(|p| self.is_crowded(now, runner, p))
        {
            return Err(NotPlaced::Busy);
        }
        let weights = query.prompt.and_then(|p| runner.version_of(&p.model));
        let load_age = runner.load_age(now);
        let row = runner.row.clone();
        let salt = query.prompt.map(|_| cache_salt(weights, query.account));
        let cache = match (query.prompt, &salt) {
            (Some(prompt), Some(salt)) => self.plan_cache(now, query, prompt, salt, key, &row),
            _ => CachePlan::default(),
        };
        Ok(Placement {
            runner: key,
            address: row.address,
            data_centre: row.data_centre,
            identity: row.identity,
            weights,
            cache_salt: salt,
            cache,
            expected,
            load_age,
        })
    }

    /// Returns whether a runner would have to preempt others for a prompt. An empty runner takes
    /// any prompt.
    fn is_crowded(&self, now: Duration, runner: &RunnerState, prompt: &Prompt) -> bool {
        let full = runner.memory(now, prompt.peak_tokens() as f64) > MEMORY_FULL;
        full && runner.batch(now) > 0.0
    }

    /// Plans where the prompt's KV cache comes from: a store, or else the runner that read the
    /// session's part last.
    fn plan_cache(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
        prompt: &Prompt,
        salt: &CompactString,
        chosen: RunnerKey,
        row: &RunnerRow,
    ) -> CachePlan {
        let mut plan = self
            .stored
            .plan(now, prompt, salt, &row.data_centre, query.objective);
        let Some(session) = prompt.session_part() else {
            return plan;
        };
        let place = prompt.parts.iter().position(|p| p.id == session.id);
        let Some(place) = place.filter(|i| i + 1 < prompt.parts.len()) else {
            return plan;
        };
        if plan.fetch.is_empty() {
            plan.fetch = prompt.parts.iter().map(|_| None).collect();
            plan.save = plan.fetch.clone();
        }
        if plan.fetch[place].is_none() {
            plan.fetch[place] = self.peer_source(now, query, &session.id, chosen);
        }
        plan
    }

    /// Returns another runner that used a session lately, as far as this entry knows.
    fn peer_source(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        session: &CompactString,
        chosen: RunnerKey,
    ) -> Option<SocketAddr> {
        let peers = self.runners.of_service(query.service);
        let holding = peers.filter(|(key, r)| {
            *key != chosen && r.is_open(now) && !r.is_loading(now) && r.holds_session(session, now)
        });
        let last = holding.max_by_key(|(_, r)| r.session_used(session));
        if let Some((_, runner)) = last {
            return Some(runner.row.address);
        }
        // Another entry may have sent the session's last request to its home; a miss costs little.
        let home = *self.home_order(query).first()?;
        let runner = self.runners.get(home).filter(|_| home != chosen)?;
        let answers = runner.is_open(now) && !runner.is_loading(now);
        answers.then_some(runner.row.address)
    }

    /// Returns the runners of a session in its order of preference.
    fn home_order(&self, query: &PlacementQuery<'_>) -> Vec<RunnerKey> {
        let Some(part) = query.prompt.and_then(Prompt::session_part) else {
            return Vec::new();
        };
        let runners = self.runners.of_service(query.service);
        let mut ranked: Vec<((bool, u64), RunnerKey)> = runners
            .filter(|(_, r)| !r.row.leaving)
            .map(|(key, r)| {
                let rank = rendezvous_rank(&part.id, &r.row.identity);
                ((self.is_near_store(query, r, &part.id), rank), key)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().take(2).map(|(_, key)| key).collect()
    }

    /// Returns whether a session's part is stored in the runner's data centre.
    fn is_near_store(
        &self,
        query: &PlacementQuery<'_>,
        runner: &RunnerState,
        part: &CompactString,
    ) -> bool {
        let Some(prompt) = query.prompt else {
            return false;
        };
        let salt = cache_salt(runner.version_of(&prompt.model), query.account);
        let part = part.clone();
        let place = self.stored.data_centre_of(&PartKey { salt, part });
        place == Some(&runner.row.data_centre)
    }

    /// Returns whether a runner's weights may still begin a request.
    fn serves_weights(&self, now: Duration, runner: &RunnerState, prompt: Option<&Prompt>) -> bool {
        let Some(prompt) = prompt else {
            return true;
        };
        let Some(held) = runner.version_of(&prompt.model) else {
            return false;
        };
        let limit = self.settings.weights_limit.saturating_sub(WEIGHTS_MARGIN);
        let named = self.weights.get(&prompt.model);
        let since = named.and_then(|n| n.outdated_since(held));
        since.is_none_or(|at| now < at + limit)
    }

    fn expected(
        &self,
        now: Duration,
        runner: &RunnerState,
        query: &PlacementQuery<'_>,
        home: Option<usize>,
    ) -> Duration {
        let prompt = query.prompt;
        let near = runner.row.data_centre == self.settings.data_centre;
        let mut expected = match prompt {
            Some(prompt) => self.expected_first_token(now, runner, prompt, query.account, home),
            None => {
                let slots = f64::from(runner.row.slots.max(1));
                let rounds = 1.0 + runner.batch(now) / slots;
                Duration::from_secs_f64(PLAIN_WORK_MS * rounds / 1_000.0)
            }
        };
        if !near {
            expected += if prompt.is_some() {
                CROSSING
            } else {
                CROSSING_PLAIN
            };
        }
        if let Some(prompt) = prompt {
            let held = runner.version_of(&prompt.model);
            let named = self.weights.get(&prompt.model).map(NamedWeights::newest);
            if named.is_some() && held < named {
                expected += OLD_WEIGHTS;
            }
        }
        if runner.is_unreported(now) {
            expected += UNREPORTED;
        }
        if runner.health.is_on_trial() {
            expected += ON_TRIAL;
        }
        expected + FAILING.mul_f64(runner.health.failing())
    }

    fn fetch_ms(
        &self,
        now: Duration,
        runner: &RunnerState,
        prompt: &Prompt,
        account: Option<&AccountEntry>,
    ) -> Option<f64> {
        let salt = cache_salt(runner.version_of(&prompt.model), account);
        let service = &runner.row.service;
        let services = self.configuration.services.iter();
        let mut engines = services.filter(|s| s.name == *service);
        let bytes = engines.find_map(|s| s.engine.as_ref())?.token_bytes;
        self.stored
            .fetch_ms(now, prompt, &salt, &runner.row.data_centre, bytes)
    }

    fn expected_first_token(
        &self,
        now: Duration,
        runner: &RunnerState,
        prompt: &Prompt,
        account: Option<&AccountEntry>,
        home: Option<usize>,
    ) -> Duration {
        let mut unread = runner.unread_tokens(prompt, now);
        let held = prompt
            .session_part()
            .is_some_and(|part| runner.holds_session(&part.id, now));
        let fetch_ms = self.fetch_ms(now, runner, prompt, account);
        if let Some(ms) = fetch_ms.filter(|_| !held) {
            // A link is shared, so that its use delays others as well.
            let missing = if home == Some(0) {
                1.0 - HOME_HOLDS
            } else {
                1.0
            };
            let as_read = ms * LINK_SHARED * missing * self.estimate.read_rate;
            unread -= f64::from(prompt.shared_tokens()) - as_read;
        } else if !held {
            let saves = match home {
                Some(0) => HOME_SAVES,
                Some(_) => SECOND_SAVES,
                None => 0.0,
            };
            unread -= f64::from(prompt.shared_tokens()) * saves;
        }
        // Own requests stand for those of the other entries, which can't be seen yet.
        let backlog = runner.unread() * (1.0 + f64::from(self.entries - 1) / 2.0);
        let waiting = f64::from(runner.waiting(now)) * f64::from(prompt.tokens) / 2.0;
        let memory = runner.memory(now, prompt.peak_tokens() as f64);
        self.estimate
            .first_token(backlog + waiting, unread, runner.batch(now), memory)
    }

    /// Counts a request that is sent; returns the tokens to give to [`Gateway::first_part`].
    pub fn sent(&mut self, now: Duration, runner: RunnerKey, prompt: Option<&Prompt>) -> f64 {
        let found = self.runners.get_mut(runner);
        found.map_or(0.0, |r| r.sent(prompt, now))
    }

    /// Counts that a runner began to answer.
    pub fn first_part(&mut self, runner: RunnerKey, unread: f64) {
        if let Some(r) = self.runners.get_mut(runner) {
            r.read(unread);
        }
    }

    /// Counts that an attempt ended.
    pub fn ended(&mut self, now: Duration, runner: RunnerKey, outcome: RunOutcome) {
        if let Some(r) = self.runners.get_mut(runner) {
            r.ended();
            r.health.note(now, outcome);
        }
    }

    /// Takes one repeat out of a service's budget, if there is one left.
    pub fn may_repeat(&mut self, now: Duration, service: &ServiceName) -> bool {
        let s = &self.settings;
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.take(
            now,
            s.retry_window,
            s.retry_ratio,
            s.retry_slack,
            self.entries,
        )
    }

    /// Returns how urgent a request is at a runner: the account's rank goes before the route's.
    pub fn urgency(&self, admission: &Admission) -> u8 {
        let of_account = admission.account.as_ref().and_then(|a| a.rank);
        let rank = of_account.map_or(0, |r| r.min(2));
        rank * 3 + admission.route.rank.min(2)
    }
}

fn home_place(home: &[RunnerKey], key: RunnerKey) -> Option<usize> {
    home.iter().position(|k| *k == key)
}

/// KV cache is found only under the salt that it was made with: weights and, where an account is
/// isolated, its name are part of it.
fn cache_salt(weights: Option<u64>, account: Option<&AccountEntry>) -> CompactString {
    let version = weights.unwrap_or(0);
    match account.filter(|a| a.isolated) {
        Some(a) => format_compact!("v{version}.{}", a.name),
        None => format_compact!("v{version}"),
    }
}
