//! Replays a burst of long prompts, the silence of a quarter of the runners and a burst of short prompts
//! at a few entries with shared runners, and prints who pays, with the wait queue and with the shortage
//! queue.

mod support;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use dotterelrudder_gateway::AdmissionVerdict;
use dotterelrudder_gateway::CapacityDemand;
use dotterelrudder_gateway::CapacityRequest;
use dotterelrudder_gateway::EngineEstimate;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::PlacementQuery;
use dotterelrudder_gateway::Prompt;
use dotterelrudder_gateway::RoomRule;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_gateway::RunnerKey;
use dotterelrudder_gateway::ShortageQueue;
use dotterelrudder_gateway::WaitQueue;
use dotterelrudder_wire::FleetState;
use dotterelrudder_wire::RunnerLoad;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::*;

const RUNNERS: u16 = 8;
const ENTRIES: usize = 4;
const MEMORY: u64 = 95_000;
/// The step of the simulation and of polls.
const STEP_MS: u64 = 5;
const LENGTH_MS: u64 = 75_000;
/// Multiples of the rates of calm times: at the first one the runners are short of capacity in the bursts
/// and the silence, at the others nearly throughout.
const LOADS: [f64; 3] = [1.0, 1.4, 1.7];
const LONG: &str = "long, priority 2";
const SHORT: &str = "short, priority 0";
/// Seeds whose results are added up.
const SEEDS: [u64; 4] = [11, 12, 13, 14];
/// Requests per second in calm times.
const LONG_RATE: f64 = 7.0;
const SHORT_RATE: f64 = 40.0;

#[derive(Debug, Clone)]
struct Job {
    is_long: bool,
    account: &'static str,
    prompt: Prompt,
    session: String,
    id: String,
    arrived: Duration,
    since: Duration,
    deadline: Duration,
    returned: bool,
    ticket: Option<u64>,
    is_large: bool,
}

impl Job {
    fn objective(&self) -> Duration {
        ms(if self.is_long { 2_000 } else { 500 })
    }

    fn urgency(&self) -> u8 {
        if self.is_long {
            2
        } else {
            0
        }
    }
}

#[derive(Debug)]
struct Running {
    entry: usize,
    job: Job,
    unread: f64,
    prefill: f64,
    output: f64,
    first_at: Option<Duration>,
}

#[derive(Debug, Default)]
struct Engine {
    running: Vec<Running>,
    waiting: VecDeque<Running>,
    sessions: BTreeMap<String, Duration>,
}

impl Engine {
    fn used(&self) -> u64 {
        self.running
            .iter()
            .map(|r| r.job.prompt.peak_tokens())
            .sum()
    }

    /// Runs one step; returns the requests that got their first token, and those that ended.
    fn step(&mut self, now: Duration) -> Vec<Running> {
        while let Some(next) = self.waiting.front() {
            if self.used() + next.job.prompt.peak_tokens() > MEMORY {
                break;
            }
            self.running.extend(self.waiting.pop_front());
        }
        let mut budget = EngineEstimate::default().prefill_tokens_per_ms * STEP_MS as f64;
        let is_reading = self.running.iter().any(|r| r.prefill > 0.0);
        let step = if is_reading {
            16.0
        } else {
            4.0 + 0.09 * self.running.len() as f64
        };
        for r in &mut self.running {
            if r.prefill > 0.0 {
                let read = r.prefill.min(budget);
                (r.prefill, budget) = (r.prefill - read, budget - read);
            } else {
                r.output += STEP_MS as f64 / step;
                if r.output >= 6.0 && r.first_at.is_none() {
                    r.first_at = Some(now);
                    self.sessions.insert(r.job.session.clone(), now);
                }
            }
        }
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|r| r.output >= f64::from(r.job.prompt.max_output_tokens));
        self.running = running;
        ended
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    sent: u32,
    in_time: u32,
    late: u32,
    refused_early: u32,
    refused_late: u32,
    useless: u32,
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused_early += other.refused_early;
        self.refused_late += other.refused_late;
        self.useless += other.useless;
    }

    fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.sent.max(1))
    }

    /// A late response is worth a quarter of one in time.
    fn value(&self) -> f64 {
        (f64::from(self.in_time) + f64::from(self.late) / 4.0) / f64::from(self.sent.max(1))
    }
}

enum Queue {
    Fixed(WaitQueue),
    ByCost(ShortageQueue),
}

struct Replay {
    gateways: Vec<Gateway>,
    queues: Vec<Queue>,
    waiting: Vec<Vec<Job>>,
    engines: Vec<Engine>,
    keys: BTreeMap<String, RunnerKey>,
    tallies: BTreeMap<String, Tally>,
    /// Multiplies the rates of requests.
    load: f64,
    /// Multiplies the estimated capacity that the shortage queue is told.
    error: f64,
    returning: Vec<(Duration, Job)>,
    /// Draws the load, which is the same for both queues.
    rng: ChaCha8Rng,
    /// Draws the entries of callers that return.
    return_rng: ChaCha8Rng,
}

impl Replay {
    fn new(by_cost: bool, seed: u64, load: f64) -> Self {
        let gateways = (0..ENTRIES).map(|n| {
            let mut gateway = Gateway::new(settings(), n as u64);
            let state = FleetState {
                entries: ENTRIES as u32,
                ..fleet_state(1)
            };
            gateway.on_fleet_state(ms(0), state, Some(ms(0)));
            gateway.on_runners(
                (1..=RUNNERS)
                    .map(|n| record(n, "engines", "north"))
                    .collect(),
            );
            gateway
        });
        let queue = || match by_cost {
            true => Queue::ByCost(ShortageQueue::default()),
            false => Queue::Fixed(WaitQueue::default()),
        };
        Self {
            gateways: gateways.collect(),
            queues: (0..ENTRIES).map(|_| queue()).collect(),
            waiting: vec![Vec::new(); ENTRIES],
            engines: (0..RUNNERS).map(|_| Engine::default()).collect(),
            keys: BTreeMap::new(),
            tallies: BTreeMap::new(),
            load,
            error: 1.0,
            returning: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            return_rng: ChaCha8Rng::seed_from_u64(seed + 1),
        }
    }

    fn new_job(&mut self, now: Duration, is_long: bool, n: u64, burst: bool) -> Job {
        let size: f64 = self.rng.random_range(0.5..1.5);
        let is_large = size > 1.4;
        let account = match self.rng.random_range(0..if burst { 9 } else { 3 }) {
            0 => "a",
            1 => "b",
            _ => "c",
        };
        let session = format!(
            "s{}",
            self.rng.random_range(0..60) + u32::from(is_long) * 100
        );
        let (shared, own, output) = if is_long {
            (8_610.0, 2_870.0, 330)
        } else {
            (1_349.0, 507.0, 18)
        };
        let mut prompt = prompt(&session, (shared * size) as u32, (own * size) as u32);
        prompt.max_output_tokens = output;
        Job {
            is_long,
            account,
            prompt,
            session,
            id: format!("{n}"),
            arrived: now,
            since: now,
            deadline: now + ms(if is_long { 15_000 } else { 3_000 }),
            returned: false,
            ticket: None,
            is_large,
        }
    }

    fn count<F>(&mut self, job: &Job, add: F)
    where
        F: Fn(&mut Tally),
    {
        let kind = if job.is_long { LONG } else { SHORT };
        let mut names = vec![kind.to_owned(), format!("{kind}, account {}", job.account)];
        if job.is_large {
            names.push(format!("{kind}, largest tenth"));
        }
        for name in names {
            add(self.tallies.entry(name).or_default());
        }
    }

    fn refuse(&mut self, now: Duration, entry: usize, job: Job, after: Duration) {
        if let Queue::ByCost(queue) = &mut self.queues[entry] {
            queue.refused(now, &job.id, &demand(&job), after);
        }
        let left = job.deadline.saturating_sub(now);
        if !job.returned && left > ms(200) {
            let back = now + after.min(left / 3);
            self.returning.push((
                back,
                Job {
                    returned: true,
                    ticket: None,
                    since: back,
                    ..job
                },
            ));
            return;
        }
        let is_early = now.saturating_sub(job.since) <= job.objective() / 8;
        self.count(&job, |t| match is_early {
            true => t.refused_early += 1,
            false => t.refused_late += 1,
        });
    }

    /// Lets a request try; returns it if it goes on waiting.
    fn try_job(&mut self, now: Duration, entry: usize, mut job: Job) -> Option<Job> {
        let service = engines();
        let need = CapacityRequest {
            urgency: job.urgency(),
            tokens: job.prompt.peak_tokens(),
            due: job.since + job.objective().mul_f64(0.7),
        };
        let own = demand(&job);
        let room = match &mut self.queues[entry] {
            Queue::Fixed(q) => q
                .may_try(now, job.ticket, &service, &need)
                .then_some(RoomRule::Usual),
            Queue::ByCost(q) => q.may_try(now, job.ticket, &own),
        };
        let placed = room.and_then(|room| {
            let query = PlacementQuery {
                objective: job.objective(),
                urgency: job.urgency(),
                room,
                ..query(&service, Some(&job.prompt), &[])
            };
            self.gateways[entry].place(now, &query).ok()
        });
        if let Some(placement) = placed {
            self.keys
                .insert(placement.identity.to_string(), placement.runner);
            self.gateways[entry].sent(now, placement.runner, Some(&job.prompt));
            let n: usize = placement.identity[2..].parse().expect("a number");
            let engine = &mut self.engines[n - 1];
            let is_cached = engine
                .sessions
                .get(&job.session)
                .is_some_and(|at| now < *at + ms(4_000));
            let shared = if is_cached {
                job.prompt.shared_tokens()
            } else {
                0
            };
            let unread = f64::from(job.prompt.tokens - shared);
            match &mut self.queues[entry] {
                Queue::Fixed(q) => job.ticket.into_iter().for_each(|t| q.leave(t)),
                Queue::ByCost(q) => {
                    q.placed(now, job.ticket, &own);
                    job.ticket.into_iter().for_each(|t| q.leave(now, t));
                }
            }
            job.ticket = None;
            engine.waiting.push_back(Running {
                entry,
                unread,
                prefill: unread,
                output: 0.0,
                first_at: None,
                job,
            });
            return None;
        }
        let capacity = self.gateways[entry].capacity_rate(now, &service) * self.error;
        let refused = match &mut self.queues[entry] {
            Queue::Fixed(_) if now < job.since + job.objective().mul_f64(2.5) => None,
            Queue::Fixed(_) => Some(ms(1_000)),
            Queue::ByCost(q) => match q.judge(now, job.ticket, &own, capacity) {
                AdmissionVerdict::Wait { .. } => None,
                AdmissionVerdict::Refuse { expected, .. } => Some(expected.max(ms(300))),
            },
        };
        match (&mut self.queues[entry], refused.is_some(), job.ticket) {
            (Queue::Fixed(q), false, None) => job.ticket = Some(q.join(&service, &need)),
            (Queue::ByCost(q), false, None) => job.ticket = Some(q.join(now, &own, capacity)),
            (Queue::Fixed(q), true, Some(t)) => q.leave(t),
            (Queue::ByCost(q), true, Some(t)) => q.leave(now, t),
            _ => {}
        }
        match refused {
            None => Some(job),
            Some(after) => {
                self.refuse(now, entry, job, after);
                None
            }
        }
    }

    fn end(&mut self, now: Duration, runner: usize, ended: Running) {
        let key = self.keys[&format!("i-{}", runner + 1)];
        let gateway = &mut self.gateways[ended.entry];
        gateway.prefill_finished(key, ended.unread);
        gateway.ended(now, key, RunOutcome::Answered);
        let began = ended
            .first_at
            .unwrap_or(now)
            .saturating_sub(ended.job.arrived);
        let in_time = began <= ended.job.objective();
        let is_useless = now > ended.job.deadline;
        self.count(&ended.job, |t| match (is_useless, in_time) {
            (true, _) => t.useless += 1,
            (false, true) => t.in_time += 1,
            (false, false) => t.late += 1,
        });
    }

    fn run(mut self) -> BTreeMap<String, Tally> {
        let (mut n, mut due) = (0, [0.0f64; 2]);
        for step in 0..LENGTH_MS / STEP_MS {
            let at = step * STEP_MS;
            let now = ms(at);
            let long_burst = (10_000..16_700).contains(&at);
            let short_burst = (52_000..58_000).contains(&at);
            let silent = if (22_000..46_000).contains(&at) {
                usize::from(RUNNERS) / 4
            } else {
                0
            };
            let more = [
                if long_burst { 2.3 } else { 1.0 },
                if short_burst { 1.5 } else { 1.0 },
            ];
            for (i, rate) in [LONG_RATE, SHORT_RATE].into_iter().enumerate() {
                due[i] += rate * self.load * more[i] * STEP_MS as f64 / 1_000.0;
                while due[i] >= 1.0 && at < LENGTH_MS - 15_000 {
                    due[i] -= 1.0;
                    n += 1;
                    let job = self.new_job(now, i == 0, n, long_burst);
                    self.count(&job, |t| t.sent += 1);
                    let entry = self.rng.random_range(0..ENTRIES);
                    self.waiting[entry].push(job);
                }
            }
            let (back, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.returning)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.returning = later;
            for (_, mut job) in back {
                let entry = self.return_rng.random_range(0..ENTRIES);
                if let Queue::ByCost(q) = &mut self.queues[entry] {
                    job.arrived = q
                        .take_returning(now, job.account, &job.id)
                        .unwrap_or(job.arrived);
                }
                self.waiting[entry].push(job);
            }
            if at == 22_000 {
                for engine in 0..silent {
                    // Their requests are taken over by other runners.
                    let mut lost = std::mem::take(&mut self.engines[engine].running);
                    lost.extend(std::mem::take(&mut self.engines[engine].waiting));
                    for r in lost {
                        self.waiting[r.entry].push(Job {
                            since: now,
                            ..r.job
                        });
                    }
                }
            }
            for runner in silent..usize::from(RUNNERS) {
                for ended in self.engines[runner].step(now) {
                    self.end(now, runner, ended);
                }
            }
            if at.is_multiple_of(200) {
                let loads: Vec<RunnerLoad> = (silent..usize::from(RUNNERS))
                    .map(|n| {
                        let e = &self.engines[n];
                        let mut load = load(n as u16 + 1, e.running.len() as u32, e.used());
                        load.reading.waiting = e.waiting.len() as u32;
                        load
                    })
                    .collect();
                for gateway in &mut self.gateways {
                    gateway.on_load_reports(now, loads.clone());
                }
            }
            if at.is_multiple_of(15) {
                for entry in 0..ENTRIES {
                    for job in std::mem::take(&mut self.waiting[entry]) {
                        let kept = self.try_job(now, entry, job);
                        self.waiting[entry].extend(kept);
                    }
                }
            }
        }
        self.tallies
    }
}

fn demand(job: &Job) -> CapacityDemand {
    let engine = EngineEstimate::default();
    CapacityDemand {
        service: engines(),
        account: job.account.into(),
        urgency: job.urgency(),
        work: CapacityDemand::work_of(&engine, Some(&job.prompt)),
        arrived: job.arrived,
        since: job.since,
        objective: job.objective(),
        latest_start: CapacityDemand::latest_start(
            &engine,
            Some(&job.prompt),
            job.since,
            job.deadline,
        ),
    }
}

/// Replays a load with one of the queues; returns the results of all seeds together.
fn replay(by_cost: bool, load: f64, error: f64) -> BTreeMap<String, Tally> {
    let mut total: BTreeMap<String, Tally> = BTreeMap::new();
    for seed in SEEDS {
        for (group, tally) in (Replay {
            error,
            ..Replay::new(by_cost, seed, load)
        })
        .run()
        {
            total.entry(group).or_default().add(&tally);
        }
    }
    total
}

/// With one wait limit for all, long prompts were refused with most of their deadline left while others
/// were served late.
#[test]
fn a_shortage_costs_callers_less_by_cost_than_with_one_wait_limit() {
    for load in LOADS {
        let tables = [false, true].map(|by_cost| replay(by_cost, load, 1.0));
        for (name, tallies) in ["wait queue", "shortage queue"].iter().zip(&tables) {
            let title = format!("{name}, load {load}");
            println!("{title:34}  sent  in time  late  refused: early  late  useless  value");
            for (group, t) in tallies {
                println!(
                    "{group:34} {:5}  {:7} {:5}  {:14} {:5}  {:7}  {:.3}",
                    t.sent,
                    t.in_time,
                    t.late,
                    t.refused_early,
                    t.refused_late,
                    t.useless,
                    t.value()
                );
            }
        }
        let [before, after] = tables;
        let (long, short) = (LONG, SHORT);
        for kind in [long, short] {
            let large = &after[&format!("{kind}, largest tenth")];
            assert!(
                large.served() >= after[kind].served() / 2.0,
                "{kind}: {large:?}"
            );
            for account in ["a", "b"] {
                let own = &after[&format!("{kind}, account {account}")];
                assert!(
                    own.served() >= after[kind].served() - 0.1,
                    "{account}: {own:?}"
                );
            }
        }
        assert!(after[long].served() <= after[short].served() + 0.05);
        assert!(after[short].value() >= before[short].value() - 0.02);
        assert!(after[long].value() >= before[long].value());
    }
}

/// An estimate of the capacity that is wrong by a factor of five must not starve a kind or its large
/// requests, and must not refuse requests while there is capacity.
#[test]
fn a_wrong_estimate_of_the_capacity_neither_starves_nor_refuses() {
    for error in [0.2, 5.0] {
        let (before, after) = (replay(false, 1.4, 1.0), replay(true, 1.4, error));
        let large = &after[&format!("{LONG}, largest tenth")];
        println!("estimate x {error}: {:?}, {large:?}", after[LONG]);
        assert!(after[LONG].value() >= before[LONG].value(), "{error}");
        assert!(after[SHORT].value() >= before[SHORT].value() - 0.02);
        assert!(large.served() >= after[LONG].served() / 2.0, "{large:?}");
        for (group, t) in replay(true, 0.5, error) {
            assert_eq!((t.refused_early, t.refused_late), (0, 0), "{group}: {t:?}");
        }
    }
}
