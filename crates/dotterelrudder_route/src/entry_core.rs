//! The entry role behind one interface: admission and placement.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_config::AccountDeclaration;
use dotterelrudder_config::IslandChoice;
use dotterelrudder_config::ServiceDeclaration;
use dotterelrudder_config::ServiceKind;
use dotterelrudder_follow::ConfigFollower;
use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Outcome;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_types::TOKEN_BYTES;
use dotterelrudder_wire::ClaimKey;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Start;

use crate::cost::estimate;
use crate::cost::Estimate;
use crate::cost::PromptFacts;
use crate::request::CurrentAttempt;
use crate::request::Request;
use crate::AccountLimits;
use crate::AnswerEvent;
use crate::Input;
use crate::Output;
use crate::Policy;
use crate::RetryBudget;
use crate::RunnerKey;
use crate::RunnerTable;
use crate::RunnerView;
use crate::Target;

/// The share of the cost that decides between equal runners, by rendezvous hashing.
const AFFINITY_SECONDS: f64 = 0.5e-3;

/// What an entry is told at its start.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The instance's name.
    pub name: InstanceName,
    /// The control instances.
    pub controls: Vec<InstanceName>,
    /// A random number that differs at each start.
    pub incarnation: u64,
    /// How runners are chosen.
    pub policy: Policy,
}

/// The entry role without input or output.
#[derive(Debug)]
pub struct EntryCore {
    pub(crate) settings: EntrySettings,
    pub(crate) follower: ConfigFollower,
    pub(crate) runners: RunnerTable,
    pub(crate) requests: BTreeMap<u64, Request>,
    pub(crate) by_attempt: HashMap<AttemptId, u64>,
    pub(crate) budget: RetryBudget,
    pub(crate) limits: AccountLimits,
    next_sequence: u64,
    leaving: bool,
    exit_told: bool,
}

/// A runner that can take a request, with what it would cost there.
struct Candidate {
    key: RunnerKey,
    name: InstanceName,
    incarnation: u64,
    estimate: Estimate,
    import: Vec<(BlockKey, InstanceName)>,
}

impl EntryCore {
    /// Starts the role.
    pub fn new(settings: EntrySettings) -> Self {
        Self {
            follower: ConfigFollower::new(settings.controls.clone()),
            settings,
            runners: RunnerTable::default(),
            requests: BTreeMap::new(),
            by_attempt: HashMap::new(),
            budget: RetryBudget::default(),
            limits: AccountLimits::default(),
            next_sequence: 1,
            leaving: false,
            exit_told: false,
        }
    }

    /// Returns the revision in force here.
    pub fn revision(&self) -> Revision {
        self.follower.revision()
    }

    /// Returns whether the platform's balancer may send new requests here.
    pub fn is_ready(&self) -> bool {
        self.follower.is_confirmed() && !self.leaving
    }

    /// Returns the requests in work.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Takes one event and appends what it leads to.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Request {
                id,
                key,
                target,
                time_limit,
                idempotency_key,
            } => {
                let deadline = now + time_limit;
                if let Err(refusal) = self.admit(id, key, target, deadline, idempotency_key, now) {
                    out.push(Output::Respond {
                        id,
                        event: AnswerEvent::Refused(refusal),
                    });
                } else {
                    self.budget.earn();
                    self.place(id, now, out);
                }
            }
            Input::CallerGone { id } => self.on_caller_gone(id, out),
            Input::Opened {
                peer,
                role,
                incarnation,
            } => {
                self.on_opened(peer, role, incarnation, now, out);
            }
            Input::Closed { peer } => self.on_closed(&peer, now),
            Input::Message {
                from,
                revision,
                message,
            } => {
                self.on_message(from, revision, message, now, out);
            }
            Input::Listed { entries, leaving } => {
                self.limits.set_entries(entries);
                self.runners.set_listed_leaving(&leaving);
            }
            Input::Stop => self.leaving = true,
        }
        if self.leaving && self.requests.is_empty() && !self.exit_told {
            self.exit_told = true;
            out.push(Output::Exit);
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut sends = Vec::new();
        self.follower.tick(now, &mut sends);
        out.extend(
            sends
                .into_iter()
                .map(|(to, message)| Output::Send { to, message }),
        );
        self.tell_demand(now, out);
        self.tick_requests(now, out);
    }

    /// Tells each client account's demand to the control instance that hashing names for it, so
    /// that all entries' words on one account meet there.
    fn tell_demand(&mut self, now: Duration, out: &mut Vec<Output>) {
        let controls = self.follower.reachable_controls();
        let mut by_control: BTreeMap<InstanceName, Vec<(ClientAccount, f32)>> = BTreeMap::new();
        for (account, rate) in self.limits.demand(now) {
            let home = controls
                .iter()
                .max_by_key(|c| hash_score(account.as_str(), c.as_str()));
            if let Some(home) = home {
                by_control
                    .entry(home.clone())
                    .or_default()
                    .push((account, rate));
            }
        }
        let told = by_control.into_iter();
        out.extend(told.map(|(to, rows)| Output::Send {
            to,
            message: Message::Demand(rows),
        }));
    }

    fn on_opened(
        &mut self,
        peer: InstanceName,
        role: Role,
        incarnation: u64,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let mut sends = Vec::new();
        self.follower.opened(&peer, &mut sends);
        out.extend(
            sends
                .into_iter()
                .map(|(to, message)| Output::Send { to, message }),
        );
        if role != Role::Side {
            return;
        }
        let key = self.runners.insert(peer.clone());
        if let Some(view) = self.runners.get_mut(key) {
            view.connected = true;
            if view.incarnation != incarnation {
                *view = RunnerView::new(peer.clone());
                view.incarnation = incarnation;
                view.connected = true;
            }
        }
        self.ask_after_attempts(&peer, incarnation, now, out);
    }

    /// Checks a request and takes it in.
    ///
    /// # Errors
    ///
    /// Returns the refusal to answer with; the request was not run.
    fn admit(
        &mut self,
        id: u64,
        key: Option<CompactString>,
        target: Target,
        deadline: Duration,
        idempotency_key: Option<CompactString>,
        now: Duration,
    ) -> Result<(), Refusal> {
        if !self.follower.is_confirmed() {
            let detail = format!("\"{}\" holds no configuration yet", self.settings.name);
            return Err(Refusal::new(ErrorKind::NotReady, detail));
        }
        let cfg = self.follower.cfg().clone();
        let account = key
            .and_then(|key| cfg.account_by_key(&AccountKeyHash::of_key(&key)))
            .ok_or_else(|| {
                Refusal::new(
                    ErrorKind::UnknownKey,
                    "the bearer key belongs to no client account",
                )
            })?;
        let service = find_service(&cfg, &target)?;
        if !account.services.contains(&service.name) {
            let detail = format!(
                "client account \"{}\" may not use service \"{}\"",
                account.name, service.name
            );
            return Err(Refusal::new(ErrorKind::NotAllowed, detail));
        }
        if service.island == IslandChoice::Refuse && !self.follower.is_fresh(now) {
            let detail = format!("service \"{}\" needs fresh configuration", service.name);
            return Err(Refusal::new(ErrorKind::NotFresh, detail));
        }
        if deadline <= now {
            return Err(Refusal::new(
                ErrorKind::DeadlineExceeded,
                "the deadline has passed",
            ));
        }
        self.limits
            .take(account, now)
            .map_err(|wait| over_limit(account, wait))?;
        let claim = idempotency_key.map(|key| ClaimKey {
            account: account.name.clone(),
            key,
            request_hash: request_hash(&target),
        });
        let request = Request {
            account: account.name.clone(),
            tier: account.tier,
            service: service.name.clone(),
            repeatable: is_repeatable(service, &target),
            target,
            claim,
            deadline,
            version: None,
            text: Vec::new(),
            failed_on: Vec::new(),
            tries: 0,
            may_have_run: false,
            current: None,
        };
        self.requests.insert(id, request);
        Ok(())
    }

    /// Hands a request to the best runner, or refuses it.
    pub(crate) fn place(&mut self, id: u64, now: Duration, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(best) = self.choose(request, now) else {
            let detail = format!("no live backend server of service \"{}\"", request.service);
            self.refuse(id, Refusal::new(ErrorKind::NoBackendServer, detail), out);
            return;
        };
        let left = request.deadline.saturating_sub(now);
        if best.estimate.first_token_seconds > left.as_secs_f64() {
            let seconds = best.estimate.first_token_seconds;
            let detail = format!("the first token is expected after {seconds:.1} s");
            self.refuse(id, Refusal::new(ErrorKind::DeadlineExceeded, detail), out);
            return;
        }
        self.start(id, best, left, out);
    }

    fn start(&mut self, id: u64, best: Candidate, left: Duration, out: &mut Vec<Output>) {
        let attempt = AttemptId {
            incarnation: self.settings.incarnation,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let start = Start {
            attempt,
            service: request.service.clone(),
            account: request.account.clone(),
            tier: request.tier,
            deadline_ms: left.as_millis() as u64,
            claim: request.claim.clone(),
            work: request.work(best.import),
        };
        request.tries += 1;
        request.current = Some(CurrentAttempt {
            id: attempt,
            side: best.name.clone(),
            incarnation: best.incarnation,
            received: 0,
            lost_at: None,
        });
        self.by_attempt.insert(attempt, id);
        if let Some(view) = self.runners.get_mut(best.key) {
            view.own_calls += 1;
        }
        let message = Message::Start(Box::new(start));
        out.push(Output::Send {
            to: best.name.clone(),
            message,
        });
        out.push(Output::Placed {
            id,
            attempt,
            side: best.name,
        });
    }

    /// Chooses the runner with the smallest expected cost.
    fn choose(&self, request: &Request, now: Duration) -> Option<Candidate> {
        let cfg = self.follower.cfg();
        let service = cfg.services.get(&request.service)?;
        let text = request.text_so_far();
        let mut chains: Vec<(WeightVersion, Vec<BlockKey>)> = Vec::new();
        let mut candidates = Vec::new();
        for (key, runner) in self.runners.of_service(&request.service) {
            if !runner.takes_work(now) || !serves(runner, service, request) {
                continue;
            }
            let version = &runner.load.version;
            if !chains.iter().any(|(known, _)| known == version) {
                let chain = BlockKey::chain(&request.account, &service.model, version, &text);
                chains.push((version.clone(), chain));
            }
            let chain = chains.iter().find(|(known, _)| known == version);
            let chain = chain.map_or(&[][..], |(_, chain)| chain);
            let candidate = self.candidate(key, runner, service, request, &text, chain);
            candidates.push((candidate, self.affinity(runner, request, chain)));
        }
        let unfailed = |c: &Candidate| !request.failed_on.contains(&c.name);
        if candidates.iter().any(|(c, _)| unfailed(c)) {
            candidates.retain(|(c, _)| unfailed(c));
        }
        self.pick(candidates)
    }

    fn candidate(
        &self,
        key: RunnerKey,
        runner: &RunnerView,
        service: &ServiceDeclaration,
        request: &Request,
        text: &[u8],
        chain: &[BlockKey],
    ) -> Candidate {
        let cached = chain
            .iter()
            .take_while(|block| runner.blocks.contains(*block))
            .count();
        let stored: Vec<_> = chain[cached..]
            .iter()
            .map_while(|block| {
                let store = self.runners.store_with(block, &service.stores)?;
                Some((*block, store.clone()))
            })
            .collect();
        let facts = PromptFacts {
            tokens: text.len().div_ceil(TOKEN_BYTES),
            cached_blocks: cached,
            stored_blocks: stored.len(),
            tier: request.tier,
        };
        let estimate = estimate(runner, facts, service.objective, self.settings.policy);
        let mut import = stored;
        import.truncate(estimate.import_blocks);
        let (name, incarnation) = (runner.name.clone(), runner.incarnation);
        Candidate {
            key,
            name,
            incarnation,
            estimate,
            import,
        }
    }

    /// Returns from 0 to 1 how far the runner is from being the one that hashing prefers.
    fn affinity(&self, runner: &RunnerView, request: &Request, chain: &[BlockKey]) -> f64 {
        let score = chain.first().map_or_else(
            || hash_score(request.account.as_str(), runner.name.as_str()),
            |first| first.rendezvous_score(runner.name.as_str()),
        );
        1.0 - score as f64 / u64::MAX as f64
    }

    fn pick(&self, candidates: Vec<(Candidate, f64)>) -> Option<Candidate> {
        let by = |value: fn(&(Candidate, f64)) -> f64| {
            move |a: &(Candidate, f64), b: &(Candidate, f64)| value(a).total_cmp(&value(b))
        };
        let best = match self.settings.policy {
            Policy::RoundRobin => {
                let mut ordered = candidates;
                ordered.sort_by(|(a, _), (b, _)| a.name.cmp(&b.name));
                let turn = self.next_sequence as usize % ordered.len().max(1);
                ordered.into_iter().nth(turn)
            }
            Policy::LeastLoaded => {
                let load = |c: &Candidate| {
                    let view = self.runners.get(c.key);
                    view.map_or(0, |r| r.load.running + r.load.waiting_paying + r.own_calls)
                };
                candidates.into_iter().min_by_key(|(c, _)| load(c))
            }
            Policy::HashAffinity => candidates.into_iter().min_by(by(|(_, affinity)| *affinity)),
            _ => candidates.into_iter().min_by(by(|(c, affinity)| {
                c.estimate.cost + affinity * AFFINITY_SECONDS
            })),
        };
        best.map(|(candidate, _)| candidate)
    }

    /// Ends a request without an answer.
    pub(crate) fn refuse(&mut self, id: u64, mut refusal: Refusal, out: &mut Vec<Output>) {
        if self.requests.get(&id).is_some_and(|r| r.may_have_run) {
            refusal = refusal.with_outcome(Outcome::Unknown);
        }
        self.forget(id);
        out.push(Output::Respond {
            id,
            event: AnswerEvent::Refused(refusal),
        });
    }

    /// Drops a request; late messages of its attempts then find nothing.
    pub(crate) fn forget(&mut self, id: u64) {
        if let Some(request) = self.requests.remove(&id) {
            if let Some(current) = request.current {
                self.by_attempt.remove(&current.id);
            }
        }
    }
}

/// Scores a candidate for rendezvous hashing by name.
fn hash_score(key: &str, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(candidate.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns whether a runner can serve the request: with the weights it began with, if it began.
fn serves(runner: &RunnerView, service: &ServiceDeclaration, request: &Request) -> bool {
    if service.kind != ServiceKind::Model {
        return true;
    }
    let version = &runner.load.version;
    let resumable = request
        .version
        .as_ref()
        .is_none_or(|needed| needed == version);
    !version.as_str().is_empty() && resumable
}

fn find_service<'a>(
    cfg: &'a dotterelrudder_config::Configuration,
    target: &Target,
) -> Result<&'a ServiceDeclaration, Refusal> {
    match target {
        Target::Completion { model, .. } => cfg.service_by_model(model).ok_or_else(|| {
            Refusal::new(
                ErrorKind::UnknownModel,
                format!("no service serves model \"{model}\""),
            )
        }),
        Target::Call { path, .. } => cfg.service_by_path(path).ok_or_else(|| {
            Refusal::new(
                ErrorKind::UnknownModel,
                format!("no service serves path \"{path}\""),
            )
        }),
    }
}

/// Returns whether the request may run again after it may have run.
fn is_repeatable(service: &ServiceDeclaration, target: &Target) -> bool {
    match target {
        Target::Completion { .. } => true,
        // RFC 9110, section 9.2.1: safe methods, unless the service declares otherwise.
        Target::Call { method, path, .. } => {
            let declared = service
                .not_repeatable
                .iter()
                .any(|p| path.starts_with(p.as_str()));
            matches!(method.as_str(), "GET" | "HEAD") && !declared
        }
    }
}

fn over_limit(account: &AccountDeclaration, wait: Duration) -> Refusal {
    let rate = account.requests_per_second;
    let detail = format!(
        "client account \"{}\" is over {rate} requests a second",
        account.name
    );
    let mut refusal = Refusal::new(ErrorKind::LimitReached, detail);
    refusal.retry_after = Some(wait.max(Duration::from_secs(1)));
    refusal
}

fn request_hash(target: &Target) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    let mut part = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    match target {
        Target::Completion {
            model,
            prompt,
            max_tokens,
        } => {
            part(model.as_bytes());
            part(prompt);
            part(&max_tokens.to_le_bytes());
        }
        Target::Call {
            method, path, body, ..
        } => {
            part(method.as_bytes());
            part(path.as_bytes());
            part(body);
        }
    }
    let mut hash = [0; 16];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    hash
}
