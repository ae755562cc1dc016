//! Runners of a service with a warm-up, in simulated time: each is cold for a while after a start, and
//! crashes when it gets more requests in a second than a cold runner takes.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::format_compact;
use compact_str::CompactString;
use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_config::deployment::WarmUp;
use dotterelrudder_control::ColdRunners;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::RunnerWarmUps;

use super::support;
use super::support::ms;

/// The time that a crashed runner needs to start.
const START_TIME: Duration = Duration::from_secs(1);
/// The interval at which the platform's list changes.
const LIST_INTERVAL: Duration = Duration::from_millis(100);
/// By how much the list lags behind.
const LIST_LAG: Duration = Duration::from_millis(800);
/// The interval at which the leader reads the list.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// The interval at which the leader passes load reports on.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);
/// The window in which requests to a cold runner are counted.
pub const SECOND: Duration = Duration::from_secs(1);

/// One runner: the process that currently runs at its address.
#[derive(Debug)]
pub struct Process {
    pub identity: CompactString,
    pub born_ms: u64,
    /// Until when it does not listen.
    pub down_until: Duration,
    pub cold_until: Duration,
    pub in_flight: u32,
    /// How often it started.
    starts: u32,
    /// The requests that it got while it was cold, over all its starts.
    pub cold_arrivals: Vec<Duration>,
    /// The requests that it got.
    pub arrivals: u32,
}

/// What became of a request that reached a runner's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reception {
    /// The process with this start time runs it.
    Accepted(u64),
    /// Another process has the address; it refuses the request with status 421.
    Misdirected,
    /// Nothing listens.
    Refused,
}

/// The runners, the platform's list of them, and the leader's knowledge.
pub struct ColdWorld {
    /// What a cold runner takes, in requests a second.
    pub rate: f64,
    pub cold_time: Duration,
    /// Whether the service declares its warm-up.
    pub declared: bool,
    /// Whether a crashed runner starts again under its identity.
    pub keeps_identity: bool,
    /// Whether the list states how long runners stay cold.
    pub list_states_cold: bool,
    /// Whether runners crash.
    pub crashes_enabled: bool,
    pub processes: Vec<Process>,
    /// When runners crashed.
    pub crashes: Vec<Duration>,
    snapshots: VecDeque<(Duration, Vec<RunnerRecord>)>,
    pub runners: ColdRunners,
    /// The list as the leader last read it.
    pub listed: Vec<RunnerRecord>,
    next_poll: Duration,
    next_push: Duration,
}

impl ColdWorld {
    /// `count` runners that have been warm for long.
    pub fn new(count: u16, rate: f64, now: Duration) -> Self {
        let process = |n: u16| Process {
            identity: super::identity(n),
            born_ms: 1,
            down_until: Duration::ZERO,
            cold_until: Duration::ZERO,
            in_flight: 0,
            starts: 0,
            cold_arrivals: Vec::new(),
            arrivals: 0,
        };
        let mut world = Self {
            rate,
            cold_time: Duration::from_secs(3),
            declared: true,
            keeps_identity: false,
            list_states_cold: true,
            crashes_enabled: true,
            processes: (1..=count).map(process).collect(),
            crashes: Vec::new(),
            snapshots: VecDeque::new(),
            runners: ColdRunners::default(),
            listed: Vec::new(),
            next_poll: now,
            next_push: now,
        };
        world.take_snapshot(now.saturating_sub(LIST_LAG));
        world.begin_leadership(now);
        world
    }

    /// The configuration that declares the warm-up, or doesn't.
    fn configuration(&self) -> DeploymentConfiguration {
        let mut configuration = support::configuration(1);
        let warm_up = WarmUp {
            time: self.cold_time,
            requests_per_s: self.rate,
        };
        for service in &mut configuration.services {
            service.warm_up = self.declared.then_some(warm_up);
        }
        configuration
    }

    /// Begins with a leader that knows nothing.
    pub fn begin_leadership(&mut self, now: Duration) {
        self.runners = ColdRunners::default();
        self.runners.configure(&self.configuration());
        self.listed.clear();
        self.next_poll = now;
    }

    fn take_snapshot(&mut self, now: Duration) {
        let up = self.processes.iter().enumerate();
        let up = up.filter(|(_, p)| now >= p.down_until);
        let records = up.map(|(n, p)| {
            let left = match self.list_states_cold {
                true => p.cold_until.saturating_sub(now),
                false => Duration::ZERO,
            };
            RunnerRecord {
                identity: p.identity.clone(),
                born_ms: p.born_ms,
                cold_left: Some(left),
                ..support::record(n as u16 + 1, "desk", "north")
            }
        });
        self.snapshots.push_back((now, records.collect()));
        if self.snapshots.len() > 32 {
            self.snapshots.pop_front();
        }
    }

    /// Lets time pass in the platform.
    pub fn step(&mut self, now: Duration) {
        let last = self.snapshots.back().map_or(Duration::ZERO, |(at, _)| *at);
        if now >= last + LIST_INTERVAL {
            self.take_snapshot(now);
        }
    }

    /// Lets the leader read the list, if it is time. Returns the announcement of changes, and the list if
    /// it changed.
    pub fn poll(&mut self, now: Duration) -> Option<(Option<RunnerWarmUps>, bool)> {
        if now < self.next_poll {
            return None;
        }
        self.next_poll = now + POLL_INTERVAL;
        let shown = self.snapshots.iter().rev();
        let shown = shown.clone().find(|(at, _)| now >= *at + LIST_LAG);
        let mut records = shown.map(|(_, r)| r.clone()).unwrap_or_default();
        self.runners.on_list(&records, now.as_millis() as u64, now);
        self.runners.tick(now);
        for record in &mut records {
            record.cold_left = None;
        }
        let changed = records != self.listed;
        self.listed = records;
        Some((self.runners.take_announcement(now), changed))
    }

    /// Returns the load reports that the leader passes on, if it is time, and the announcement of what
    /// they show.
    pub fn push_loads(
        &mut self,
        now: Duration,
    ) -> Option<(Option<RunnerWarmUps>, Vec<RunnerLoad>)> {
        if now < self.next_push {
            return None;
        }
        self.next_push = now + LOAD_INTERVAL;
        let loads = self.processes.iter().enumerate().map(|(n, p)| {
            let mut load = support::load(n as u16 + 1, p.in_flight, 0);
            load.reading.answers = now >= p.down_until;
            load.traits.born_ms = p.born_ms;
            load
        });
        let loads: Vec<_> = loads.collect();
        for load in loads.iter().filter(|l| l.reading.answers) {
            let (address, born_ms) = (load.reading.address, load.traits.born_ms);
            self.runners.on_report(address, born_ms, now);
        }
        Some((self.runners.take_announcement(now), loads))
    }

    /// Ends a process; another one starts in its place.
    pub fn crash(&mut self, n: usize, now: Duration) {
        let (keeps_identity, cold_time) = (self.keeps_identity, self.cold_time);
        let process = &mut self.processes[n];
        process.starts += 1;
        process.down_until = now + START_TIME;
        process.cold_until = process.down_until + cold_time;
        process.born_ms = process.down_until.as_millis() as u64;
        process.in_flight = 0;
        if !keeps_identity {
            process.identity = format_compact!("i-{}.{}", n + 1, process.starts);
        }
        self.crashes.push(now);
    }

    /// Makes a runner cold without a start.
    pub fn cool(&mut self, n: usize, now: Duration) {
        self.processes[n].cold_until = now + self.cold_time;
    }

    /// Passes a request for an identity to the process at its address.
    pub fn receive(&mut self, identity: &CompactString, now: Duration) -> (usize, Reception) {
        let number = identity.trim_start_matches("i-").split('.').next();
        let n: usize = number.and_then(|n| n.parse().ok()).expect("a number");
        let n = n - 1;
        let crash_above = self.rate * 1.5 + 5.0;
        let process = &mut self.processes[n];
        if now < process.down_until {
            return (n, Reception::Refused);
        }
        if process.identity != *identity {
            return (n, Reception::Misdirected);
        }
        process.in_flight += 1;
        process.arrivals += 1;
        let born_ms = process.born_ms;
        if now < process.cold_until {
            process.cold_arrivals.push(now);
            let recent = process.cold_arrivals.iter().rev();
            let recent = recent.take_while(|at| **at + SECOND > now).count();
            if self.crashes_enabled && recent as f64 > crash_above {
                self.crash(n, now);
            }
        }
        (n, Reception::Accepted(born_ms))
    }

    /// Returns the most requests that any runner got while it was cold in one second from `from` on.
    pub fn most_in_a_second(&self, from: Duration) -> usize {
        let counts = self.processes.iter().map(|p| {
            let begin = p.cold_arrivals.partition_point(|at| *at < from);
            let arrivals = &p.cold_arrivals[begin..];
            let ends = arrivals
                .iter()
                .map(|first| arrivals.partition_point(|at| *at < *first + SECOND));
            let counts = ends.enumerate().map(|(first, end)| end - first);
            counts.max().unwrap_or(0)
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the number of runners that are up and warm.
    pub fn warm(&self, now: Duration) -> usize {
        let warm = self.processes.iter();
        warm.filter(|p| now >= p.down_until && now >= p.cold_until)
            .count()
    }
}

/// Returns a time as milliseconds for a report.
pub fn since(at: Duration, from: Duration) -> u128 {
    at.saturating_sub(from + ms(0)).as_millis()
}
