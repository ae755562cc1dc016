//! Many entries, one leader and runners with request limits, in simulated time: the decisions of
//! [`Gateway`] and [`LimitLedger`] without sockets.
#![allow(dead_code)]

pub mod cold_world;

#[path = "../../../dotterelrudder_gateway/tests/support/mod.rs"]
pub mod support;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use cold_world::ColdWorld;
use cold_world::Reception;
use compact_str::CompactString;
use dotterelrudder_control::LimitLedger;
use dotterelrudder_gateway::AnswerLimit;
use dotterelrudder_gateway::CapacityRequest;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::NotPlaced;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::PlacementQuery;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_gateway::RunnerKey;
use dotterelrudder_gateway::WaitQueue;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::encode_frame;
use dotterelrudder_wire::LimitGrants;
use dotterelrudder_wire::LimitReport;
use dotterelrudder_wire::LimitUpdate;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::RunnerWarmUps;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::ms;

/// One step of simulated time.
const STEP: Duration = Duration::from_millis(5);
/// The delay of a message between an entry and the leader.
const LINK_DELAY: Duration = Duration::from_millis(2);
/// The time from a request to the answer of its runner.
const ANSWER_DELAY: Duration = Duration::from_millis(30);
/// The shortest interval between two reports of an entry.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// The longest interval between two reports of an entry.
const REPORT_REPEAT: Duration = Duration::from_secs(1);
/// The interval at which a waiting request tries again.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// How long a request waits at most.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
/// How long after it first heard of a limit an entry's requests count against the limit.
const TOLD_FOR: Duration = Duration::from_millis(500);
/// The most answers in a row that name another limit than the true one.
const MAX_UNTRUE_ANSWERS: u32 = 2;
/// The interval of an entry's queries to the leader.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// The interval of the leader's ticks.
const LEADER_TICK: Duration = Duration::from_millis(20);

/// A request that waits at an entry.
#[derive(Debug)]
struct Waiting {
    number: u64,
    urgency: u8,
    until: Duration,
    /// Whether the wait was judged to be short enough.
    accepted: bool,
    /// The place in the wait queue, once the request did not find a permit.
    ticket: Option<u64>,
    next_try: Duration,
}

/// An answer on its way to an entry.
#[derive(Debug)]
struct Answer {
    at: Duration,
    runner: RunnerKey,
    limit: Option<f64>,
    /// The process that got the request, if it may end.
    process: Option<(usize, Reception)>,
    /// The request, which is sent again if its process ends.
    urgency: u8,
    until: Duration,
}

/// A message on its way between an entry and the leader.
#[derive(Debug, Clone)]
enum Packet {
    Report(LimitReport),
    Grants(LimitGrants),
    Updates(Vec<LimitUpdate>),
    WarmUps(RunnerWarmUps),
    List(Vec<RunnerRecord>),
    Loads(Vec<RunnerLoad>),
    /// A query of an entry, or the answer to it, with the time at which it was sent.
    Query(Duration),
    State(Duration),
}

/// One entry.
pub struct SimEntry {
    pub gateway: Gateway,
    wait_queue: WaitQueue,
    waiting: Vec<Waiting>,
    answers: Vec<Answer>,
    reported_at: Duration,
    /// Whether the entry and the leader reach each other.
    pub connected: bool,
    /// Whether the entry stands still.
    pub frozen: bool,
    /// When the entry first heard of a limit, from an answer or from the leader.
    told_at: Option<Duration>,
    /// Whether the entry stood still until now, and goes on with what waited before it reads.
    just_woke: bool,
    queried_at: Duration,
    inbox: Vec<(Duration, Packet)>,
    outbox: Vec<(Duration, Packet)>,
}

/// What a request came to.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Totals {
    pub sent: u32,
    pub refused: u32,
}

/// A request that a runner got.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Duration,
    pub entry: usize,
    /// Whether the entry had heard of a limit long enough before.
    pub told: bool,
}

/// The simulated deployment.
pub struct LimitFleet {
    pub now: Duration,
    pub entries: Vec<SimEntry>,
    ledger: Option<LimitLedger>,
    /// When a leader takes over, while none leads.
    leads_at: Duration,
    /// The limit that each runner names in its answers.
    pub limits: HashMap<CompactString, Option<f64>>,
    /// Whether answers name other limits or none at random, higher than the true one.
    pub vague: bool,
    /// How many answers in a row of each runner did so.
    untrue_answers: HashMap<CompactString, u32>,
    /// The requests that each runner got.
    pub arrivals: HashMap<CompactString, Vec<Arrival>>,
    /// Totals by urgency.
    pub totals: HashMap<u8, Totals>,
    /// How long refused requests waited.
    pub refusals: Vec<Duration>,
    /// Messages between entries and the leader.
    pub messages: u64,
    /// Their bytes in frames.
    pub bytes: u64,
    /// The processor time of the leader's decisions.
    pub leader_time: Duration,
    /// The runners of a service with a warm-up; none for runners that name limits.
    pub cold: Option<ColdWorld>,
    runners: u16,
    next_number: u64,
    next_tick: Duration,
    pub rng: ChaCha8Rng,
}

fn service() -> ServiceName {
    "desk".into()
}

fn name(entry: usize) -> InstanceName {
    format!("entry-{entry:03}").as_str().into()
}

pub fn identity(runner: u16) -> CompactString {
    format!("i-{runner}").into()
}

impl SimEntry {
    fn new(entries: u32, runners: u16, seed: u64, now: Duration) -> Self {
        let mut gateway = Gateway::new(support::settings(), seed);
        let mut state = support::fleet_state(1);
        state.entries = entries;
        gateway.on_fleet_state(now, state, Some(now));
        let records = (1..=runners).map(|n| support::record(n, "desk", "north"));
        gateway.on_runners(records.collect());
        Self {
            gateway,
            wait_queue: WaitQueue::default(),
            waiting: Vec::new(),
            answers: Vec::new(),
            reported_at: Duration::ZERO,
            connected: true,
            frozen: false,
            told_at: None,
            just_woke: false,
            queried_at: Duration::ZERO,
            inbox: Vec::new(),
            outbox: Vec::new(),
        }
    }
}

impl LimitFleet {
    pub fn new(entries: usize, runners: u16, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = ms(10_000);
        let all = (0..entries).map(|_| SimEntry::new(entries as u32, runners, rng.random(), now));
        let mut fleet = Self {
            now,
            entries: all.collect(),
            ledger: Some(LimitLedger::default()),
            leads_at: now,
            limits: (1..=runners).map(|n| (identity(n), None)).collect(),
            vague: false,
            untrue_answers: HashMap::new(),
            arrivals: HashMap::new(),
            totals: HashMap::new(),
            refusals: Vec::new(),
            messages: 0,
            bytes: 0,
            leader_time: Duration::ZERO,
            cold: None,
            runners,
            next_number: 0,
            next_tick: now,
            rng,
        };
        if let Some(ledger) = &mut fleet.ledger {
            ledger.begin_leadership(ms(0));
        }
        fleet
    }

    /// Creates a deployment of runners with a warm-up that take `rate` requests a second while they are
    /// cold.
    pub fn with_warm_up(entries: usize, runners: u16, rate: f64, declared: bool) -> Self {
        let mut fleet = Self::new(entries, runners, entries as u64);
        let mut world = ColdWorld::new(runners, rate, fleet.now);
        world.declared = declared;
        world.begin_leadership(fleet.now);
        fleet.cold = Some(world);
        fleet
    }

    /// Ends a stand-still of an entry.
    pub fn thaw(&mut self, entry: usize) {
        self.entries[entry].just_woke |= self.entries[entry].frozen;
        self.entries[entry].frozen = false;
    }

    /// Adds requests that wait at an entry.
    pub fn burst(&mut self, entry: usize, urgency: u8, count: u32) {
        for _ in 0..count {
            self.next_number += 1;
            self.entries[entry].waiting.push(Waiting {
                number: self.next_number,
                urgency,
                until: self.now + MAX_WAIT,
                accepted: false,
                ticket: None,
                next_try: self.now,
            });
        }
    }

    /// Sets the limit that the first `count` runners name.
    pub fn limit(&mut self, count: u16, limit: Option<f64>) {
        for n in 1..=count {
            self.limits.insert(identity(n), limit);
        }
    }

    /// Replaces an entry with one that has just started; not while nobody leads, since an entry serves
    /// only once it heard from a leader.
    pub fn restart(&mut self, entry: usize) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        ledger.remove_entry(&name(entry));
        let limits = ledger.limits();
        let count = self.entries.len() as u32;
        let seed = self.rng.random();
        let mut started = SimEntry::new(count, self.runners, seed, self.now);
        started.told_at = (!limits.is_empty()).then_some(self.now);
        started.gateway.on_limit_updates(self.now, limits);
        if let Some(world) = &self.cold {
            if let Some(warm_ups) = world.runners.announcement(self.now) {
                started.gateway.on_warm_ups(self.now, warm_ups);
            }
            started.gateway.on_runners(world.listed.clone());
        }
        self.entries[entry] = started;
    }

    /// Tells an entry how many entries there are, rightly or not.
    pub fn tell_count(&mut self, entry: usize, count: u32) {
        let mut state = support::fleet_state(1);
        state.entries = count;
        let now = self.now;
        self.entries[entry]
            .gateway
            .on_fleet_state(now, state, Some(now));
    }

    /// Ends the leadership; another replica leads after `gap`.
    pub fn change_leader(&mut self, gap: Duration) {
        self.ledger = None;
        self.leads_at = self.now + gap;
        let leads_at = self.leads_at;
        if let Some(world) = &mut self.cold {
            world.begin_leadership(leads_at);
        }
    }

    fn count(&mut self, packet: &Packet) {
        let message = match packet {
            Packet::Report(report) => Message::LimitReport(report.clone()),
            Packet::Grants(grants) => Message::LimitGrants(grants.clone()),
            Packet::Updates(updates) => Message::RunnerLimits(updates.clone()),
            Packet::WarmUps(warm_ups) => Message::RunnerWarmUps(warm_ups.clone()),
            // They are sent without limits too.
            Packet::List(_) | Packet::Loads(_) | Packet::Query(_) | Packet::State(_) => return,
        };
        let mut buf = BytesMut::new();
        encode_frame(&message, &mut buf).expect("a message fits into a frame");
        self.messages += 1;
        self.bytes += buf.len() as u64;
    }

    fn post(&mut self, entry: usize, packet: Packet) {
        self.count(&packet);
        let at = self.now + LINK_DELAY;
        self.entries[entry].inbox.push((at, packet));
    }

    /// Lets time pass; `rate` requests of each urgency arrive a second, at entries that `pick` draws.
    pub fn run<P>(&mut self, length: Duration, rates: &[(u8, f64)], mut pick: P)
    where
        P: FnMut(&mut ChaCha8Rng, Duration) -> usize,
    {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            if let Some(world) = &mut self.cold {
                world.step(now);
            }
            for (urgency, rate) in rates {
                let mean = rate * STEP.as_secs_f64();
                let mut arriving = mean.floor() as u32;
                arriving += u32::from(self.rng.random_bool(mean.fract()));
                for _ in 0..arriving {
                    let entry = pick(&mut self.rng, self.now);
                    self.next_number += 1;
                    self.entries[entry].waiting.push(Waiting {
                        number: self.next_number,
                        urgency: *urgency,
                        until: self.now + MAX_WAIT,
                        accepted: false,
                        ticket: None,
                        next_try: self.now,
                    });
                }
            }
            for entry in 0..self.entries.len() {
                if !self.entries[entry].frozen {
                    self.step_entry(entry);
                }
            }
            self.step_leader();
        }
    }

    fn step_entry(&mut self, n: usize) {
        let now = self.now;
        if std::mem::take(&mut self.entries[n].just_woke) {
            self.place_waiting(n);
        }
        let has_warm_ups = self.cold.is_some();
        let entry_count = self.entries.len() as u32;
        let entry = &mut self.entries[n];
        if has_warm_ups {
            entry.gateway.watch_for_pause(now);
            if now >= entry.queried_at + QUERY_INTERVAL {
                entry.queried_at = now;
                entry.outbox.push((now + LINK_DELAY, Packet::Query(now)));
            }
        }
        if entry.connected {
            let arrived = entry.inbox.extract_if(.., |(at, _)| *at <= now);
            for (_, packet) in arrived.collect::<Vec<_>>() {
                match packet {
                    Packet::Grants(grants) => entry.gateway.on_limit_grants(&grants),
                    Packet::Updates(updates) => {
                        entry.told_at = entry.told_at.or(Some(now));
                        entry.gateway.on_limit_updates(now, updates);
                    }
                    Packet::WarmUps(warm_ups) => {
                        entry.gateway.on_warm_ups(now, warm_ups);
                    }
                    Packet::List(records) => entry.gateway.on_runners(records),
                    Packet::Loads(loads) => {
                        entry.gateway.on_load_reports(now, loads);
                    }
                    Packet::State(queried_at) => {
                        let mut state = support::fleet_state(1);
                        state.entries = entry_count;
                        entry.gateway.on_fleet_state(now, state, Some(queried_at));
                    }
                    Packet::Report(_) | Packet::Query(_) => {}
                }
            }
        }
        let answered = entry.answers.extract_if(.., |a| a.at <= now);
        let mut again = Vec::new();
        for answer in answered.collect::<Vec<_>>() {
            if let Some((process, reception)) = answer.process {
                let world = self.cold.as_mut().expect("a process belongs to a world");
                let process = &mut world.processes[process];
                let (gateway, runner) = (&mut entry.gateway, answer.runner);
                let is_there = now >= process.down_until;
                match reception {
                    Reception::Accepted(born_ms) if is_there && process.born_ms == born_ms => {
                        process.in_flight -= 1;
                    }
                    Reception::Misdirected => {
                        gateway.ended(now, runner, RunOutcome::Misdirected);
                        again.push(answer);
                        continue;
                    }
                    Reception::Accepted(_) | Reception::Refused => {
                        gateway.on_connection_lost(now, runner);
                        gateway.ended(now, runner, RunOutcome::Unreachable);
                        again.push(answer);
                        continue;
                    }
                }
            }
            let limit = answer.limit.map_or(AnswerLimit::Absent, AnswerLimit::Named);
            let (gateway, runner) = (&mut entry.gateway, answer.runner);
            gateway.on_answer_limit(now, runner, limit);
            gateway.ended(now, runner, RunOutcome::Answered);
            entry.told_at = entry.told_at.or(answer.limit.map(|_| now));
        }
        for answer in again {
            self.next_number += 1;
            entry.waiting.push(Waiting {
                number: self.next_number,
                urgency: answer.urgency,
                until: answer.until,
                accepted: false,
                ticket: None,
                next_try: now,
            });
        }
        self.place_waiting(n);
        let entry = &mut self.entries[n];
        let since = now.saturating_sub(entry.reported_at);
        let due = entry.gateway.is_limit_report_due() && since >= REPORT_INTERVAL;
        if due || since >= REPORT_REPEAT {
            if let Some(report) = entry.gateway.take_limit_report(now) {
                entry.reported_at = now;
                entry
                    .outbox
                    .push((now + LINK_DELAY, Packet::Report(report)));
                self.messages += 1;
            }
        }
    }

    fn place_waiting(&mut self, n: usize) {
        let now = self.now;
        let service = service();
        let waiting = std::mem::take(&mut self.entries[n].waiting);
        for mut w in waiting {
            if now < w.next_try {
                self.entries[n].waiting.push(w);
                continue;
            }
            let query = PlacementQuery {
                urgency: w.urgency,
                software: None,
                request: w.number,
                ..support::query(&service, None, &[])
            };
            let need = CapacityRequest {
                urgency: w.urgency,
                tokens: 0,
                due: w.until,
            };
            let entry = &mut self.entries[n];
            let wait = if entry.wait_queue.may_try(now, w.ticket, &service, &need) {
                match entry.gateway.place(now, &query) {
                    Ok(placement) => {
                        self.send(n, &w, placement);
                        continue;
                    }
                    Err(NotPlaced::Limited(wait)) => Some(wait),
                    Err(NotPlaced::Busy | NotPlaced::Refused(_)) if self.cold.is_some() => None,
                    Err(placed) => panic!("not limited: {placed:?}"),
                }
            } else {
                entry.gateway.queue_behind_others(now, &query)
            };
            let judged = wait.filter(|wait| wait.is_known && !w.accepted);
            w.accepted |= judged.is_some();
            if now >= w.until || judged.is_some_and(|wait| now + wait.time >= w.until) {
                entry.gateway.forget_demand(w.number);
                if let Some(ticket) = w.ticket {
                    entry.wait_queue.leave(ticket);
                }
                let waited = (now + MAX_WAIT).saturating_sub(w.until);
                self.refusals.push(waited);
                self.totals.entry(w.urgency).or_default().refused += 1;
            } else {
                w.next_try = now + POLL_INTERVAL;
                let queue = &mut entry.wait_queue;
                w.ticket = w.ticket.or_else(|| Some(queue.join(&service, &need)));
                entry.waiting.push(w);
            }
        }
    }

    fn send(&mut self, n: usize, w: &Waiting, placement: Placement) {
        let now = self.now;
        let limit = self.limits.get(&placement.identity).copied().flatten();
        let limit = self.stated(&placement.identity, limit);
        let entry = &mut self.entries[n];
        if let Some(ticket) = w.ticket {
            entry.wait_queue.leave(ticket);
        }
        entry.gateway.sent(now, placement.runner, None);
        let world = self.cold.as_mut();
        let process = world.map(|world| world.receive(&placement.identity, now));
        entry.answers.push(Answer {
            at: now + ANSWER_DELAY,
            runner: placement.runner,
            limit,
            process,
            urgency: w.urgency,
            until: w.until,
        });
        let told = entry.told_at.is_some_and(|at| now >= at + TOLD_FOR);
        let arrivals = self.arrivals.entry(placement.identity).or_default();
        arrivals.push(Arrival {
            at: now,
            entry: n,
            told,
        });
        self.totals.entry(w.urgency).or_default().sent += 1;
    }

    /// Returns the limit that an answer names, given the true one.
    fn stated(&mut self, runner: &CompactString, limit: Option<f64>) -> Option<f64> {
        let untrue = self.untrue_answers.entry(runner.clone()).or_default();
        if !self.vague || *untrue >= MAX_UNTRUE_ANSWERS || self.rng.random_bool(0.6) {
            *untrue = 0;
            return limit;
        }
        *untrue += 1;
        limit
            .filter(|_| self.rng.random_bool(0.5))
            .map(|l| l * 10.0)
    }

    /// Lets the leader read the list and pass load reports on. Cold runners are announced first.
    fn step_cold_runners(&mut self) {
        let now = self.now;
        let (Some(world), Some(ledger)) = (&mut self.cold, &mut self.ledger) else {
            return;
        };
        let mut packets = Vec::new();
        if let Some((changes, list_changed)) = world.poll(now) {
            packets.extend(changes.map(Packet::WarmUps));
            if list_changed {
                packets.extend(world.runners.announcement(now).map(Packet::WarmUps));
                packets.push(Packet::List(world.listed.clone()));
            }
            ledger.set_cold(now, world.runners.rates());
        }
        if let Some((changes, loads)) = world.push_loads(now) {
            packets.extend(changes.map(Packet::WarmUps));
            packets.push(Packet::Loads(loads));
            ledger.set_cold(now, world.runners.rates());
        }
        for entry in 0..self.entries.len() {
            for packet in packets.clone() {
                self.post(entry, packet);
            }
        }
    }

    fn step_leader(&mut self) {
        let now = self.now;
        if self.ledger.is_none() && now >= self.leads_at {
            let mut ledger = LimitLedger::default();
            ledger.begin_leadership(now);
            self.ledger = Some(ledger);
        }
        self.step_cold_runners();
        let mut replies = Vec::new();
        for (n, entry) in self.entries.iter_mut().enumerate() {
            if !entry.connected {
                continue;
            }
            let arrived = entry.outbox.extract_if(.., |(at, _)| *at <= now);
            for (_, packet) in arrived.collect::<Vec<_>>() {
                let (ledger, report) = match (&mut self.ledger, packet) {
                    (Some(ledger), Packet::Report(report)) => (ledger, report),
                    (Some(_), Packet::Query(sent_at)) => {
                        replies.push((n, Packet::State(sent_at)));
                        continue;
                    }
                    _ => continue,
                };
                let name = name(n);
                let began = Instant::now();
                let (grants, ended) = ledger.on_report(&name, report, now);
                self.leader_time += began.elapsed();
                if !ended.is_empty() {
                    replies.push((n, Packet::Updates(ended)));
                }
                replies.push((n, Packet::Grants(grants)));
            }
        }
        for (n, packet) in replies {
            self.post(n, packet);
        }
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + LEADER_TICK;
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        let began = Instant::now();
        let granted = ledger.tick(now);
        self.leader_time += began.elapsed();
        let updates = ledger.take_updates();
        for (entry, grants) in granted {
            let n = (0..self.entries.len()).find(|n| name(*n) == entry);
            self.post(n.expect("grants name an entry"), Packet::Grants(grants));
        }
        if !updates.is_empty() {
            for n in 0..self.entries.len() {
                self.post(n, Packet::Updates(updates.clone()));
            }
        }
    }

    /// Returns the most requests of told entries that a runner got in any window after `from`.
    pub fn most_in_window(&self, runner: u16, from: Duration, window: Duration) -> usize {
        let arrivals = self.arrivals.get(&identity(runner)).into_iter().flatten();
        let counted = arrivals.filter(|a| a.told && a.at >= from);
        let counted: Vec<Duration> = counted.map(|a| a.at).collect();
        let ends = counted
            .iter()
            .map(|first| counted.partition_point(|at| *at < *first + window));
        let counts = ends.enumerate().map(|(first, end)| end - first);
        counts.max().unwrap_or(0)
    }

    /// Returns the requests that a runner got since `from`.
    pub fn arrived_since(&self, runner: u16, from: Duration) -> Vec<Arrival> {
        let arrivals = self.arrivals.get(&identity(runner)).into_iter().flatten();
        arrivals.filter(|a| a.at >= from).copied().collect()
    }
}
