//! Table of all runners that an entry knows.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::LeavingRunner;
use dotterelrudder_types::LeavingRunners;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerRecord;
use rand::Rng;
use slotmap::SlotMap;

use crate::FailureDetector;
use crate::RunnerCondition;
use crate::RunnerState;
use crate::SuspicionChange;

/// How long an announced cold time is kept after its end, so that the leader's word that the runner is
/// warm is recognised as news.
const ANNOUNCED_COLD_TTL: Duration = Duration::from_secs(10);

slotmap::new_key_type! {
    /// The key of a runner in an entry's runner table.
    pub struct RunnerKey;
}

/// The runners by key and by identity.
#[derive(Debug, Default)]
pub struct RunnerTable {
    runners: SlotMap<RunnerKey, RunnerState>,
    by_identity: HashMap<CompactString, RunnerKey>,
    failure_detector: FailureDetector,
    /// The request limits that the leader announced, by the identity of the runner.
    announced_limits: HashMap<CompactString, f64>,
    /// The rates of cold runners that the leader announced and until when they are cold, by the identity
    /// of the runner.
    announced_cold: HashMap<CompactString, (f64, Duration)>,
    /// The data centres whose runners get no requests.
    evacuated: BTreeSet<DataCentre>,
    /// The runners with a request limit. They are few, and looked up for each request.
    limited: Vec<RunnerKey>,
    /// The runners that stated that they are leaving, whatever the list says of them.
    leaving: LeavingRunners,
}

impl RunnerTable {
    /// Applies the platform's complete list. Runners that are no longer listed stay until their
    /// last request has ended.
    pub fn update_list(&mut self, records: Vec<RunnerRecord>) {
        for runner in self.runners.values_mut() {
            runner.listed = false;
        }
        for mut record in records {
            let start = LeavingRunner {
                identity: record.identity.clone(),
                born_ms: record.born_ms,
            };
            record.leaving |= self.leaving.contains(&start);
            match self.by_identity.get(&record.identity) {
                Some(key) => {
                    if let Some(runner) = self.runners.get_mut(*key) {
                        runner.update(record);
                    }
                }
                None => {
                    let identity = record.identity.clone();
                    let mut runner = RunnerState::new(record);
                    runner.limit.on_update(
                        Duration::ZERO,
                        self.announced_limits.get(&identity).copied(),
                    );
                    if let Some((rate, until)) = self.announced_cold.get(&identity) {
                        runner.limit.announce_cold(Some(*rate), *until);
                        runner.begin_slow_start();
                    }
                    let key = self.runners.insert(runner);
                    self.track_limit(key);
                    self.by_identity.insert(identity, key);
                }
            }
        }
        self.mark_evacuated();
        self.runners.retain(|_, r| r.listed || r.in_flight() > 0);
        let runners = &self.runners;
        self.by_identity.retain(|_, key| runners.contains_key(*key));
        self.limited.retain(|key| runners.contains_key(*key));
    }

    /// Replaces the evacuated data centres. Returns whether they changed.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<DataCentre>) -> bool {
        let changed = self.evacuated != evacuated;
        self.evacuated = evacuated;
        self.mark_evacuated();
        changed
    }

    /// Returns the data centres whose runners get no requests.
    pub fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }

    fn mark_evacuated(&mut self) {
        for runner in self.runners.values_mut() {
            runner.evacuated = self.evacuated.contains(&runner.record.data_centre);
        }
    }

    /// Applies load reports. Returns the runners that became suspected, or are no longer suspected.
    pub fn on_load_reports(
        &mut self,
        loads: Vec<RunnerLoad>,
        now: Duration,
    ) -> Vec<SuspicionChange> {
        self.failure_detector.on_reports(now);
        let mut changed = Vec::new();
        for load in loads {
            let recovered = self.on_load_report(load, now);
            changed.extend(recovered.map(|runner| SuspicionChange::of(runner, now)));
        }
        let failure_detector = &self.failure_detector;
        for runner in self.runners.values_mut() {
            let age = runner.load_age(now);
            let overdue = age.is_some_and(|age| failure_detector.is_overdue(now, age));
            if runner.listed && overdue && !runner.suspected {
                runner.suspected = true;
                changed.push(SuspicionChange::of(runner, now));
            }
        }
        changed
    }

    /// Applies a load report, which names its runner by address. Returns the runner if it was
    /// suspected until now.
    fn on_load_report(&mut self, load: RunnerLoad, now: Duration) -> Option<&RunnerState> {
        let born_ms = load.traits.born_ms;
        let runner = self.runners.values_mut().find(|r| {
            let same_start = born_ms == 0 || r.record.born_ms == 0 || born_ms == r.record.born_ms;
            r.listed && r.record.address == load.reading.address && same_start
        })?;
        let was_suspected = runner.suspected;
        runner.on_load_report(load, now);
        was_suspected.then_some(runner)
    }

    /// Records that a runner stated that it is leaving, also one that is not listed. Returns whether
    /// this was not known.
    pub fn add_leaving(&mut self, runner: LeavingRunner) -> bool {
        let key = self.by_identity.get(&runner.identity).copied();
        if let Some(state) = key.and_then(|key| self.runners.get_mut(key)) {
            state.record.leaving |= state.record.born_ms == runner.born_ms;
        }
        self.leaving.add(runner)
    }

    /// Returns the runners that stated that they are leaving.
    pub fn leaving(&self) -> Vec<LeavingRunner> {
        self.leaving.all()
    }

    /// Draws new random sampling ranks for all runners.
    pub fn resample_ranks<R>(&mut self, rng: &mut R)
    where
        R: Rng,
    {
        for runner in self.runners.values_mut() {
            runner.sampling_rank = rng.random();
        }
    }

    /// Returns a runner's state.
    pub fn get(&self, key: RunnerKey) -> Option<&RunnerState> {
        self.runners.get(key)
    }

    /// Returns a runner's state for modification.
    pub fn get_mut(&mut self, key: RunnerKey) -> Option<&mut RunnerState> {
        self.runners.get_mut(key)
    }

    /// Returns the listed runners of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (RunnerKey, &'a RunnerState)> {
        let all = self.runners.iter();
        all.filter(move |(_, r)| r.listed && r.record.service == *service)
    }

    /// Returns the services that have listed runners.
    pub fn services(&self) -> BTreeSet<ServiceName> {
        let listed = self.runners.values().filter(|r| r.listed);
        listed.map(|r| r.record.service.clone()).collect()
    }

    /// Returns the software versions of the listed runners of a service.
    pub fn software_of(&self, service: &ServiceName) -> BTreeSet<CompactString> {
        let runners = self.of_service(service);
        runners
            .filter_map(|(_, r)| r.record.software.clone())
            .collect()
    }

    /// Returns whether the software version of one of a service's runners is not known, though those of
    /// others are.
    pub fn has_unversioned(&self, service: &ServiceName) -> bool {
        let mut runners = self.of_service(service);
        runners.any(|(_, r)| r.record.software.is_none()) && !self.software_of(service).is_empty()
    }

    /// Applies the leader's announcement of a runner's request limit, or of its end. It is kept for
    /// runners that are not listed yet.
    pub fn announce_limit(&mut self, now: Duration, identity: &CompactString, rate: Option<f64>) {
        match rate {
            Some(rate) => {
                self.announced_limits.insert(identity.clone(), rate);
            }
            None => {
                self.announced_limits.remove(identity);
            }
        }
        if let Some(key) = self.by_identity.get(identity).copied() {
            if let Some(runner) = self.runners.get_mut(key) {
                runner.limit.on_update(now, rate);
            }
            self.track_limit(key);
        }
    }

    /// Applies the leader's announcement that a runner is cold until a time, or warm. It is kept for
    /// runners that are not listed yet. Returns whether it is new.
    pub fn announce_cold(
        &mut self,
        now: Duration,
        identity: &CompactString,
        rate: Option<f64>,
        until: Duration,
    ) -> bool {
        self.announced_cold
            .retain(|_, (_, until)| now < *until + ANNOUNCED_COLD_TTL);
        let before = match rate {
            Some(rate) => self.announced_cold.insert(identity.clone(), (rate, until)),
            None => self.announced_cold.remove(identity),
        };
        let was_cold = before.is_some_and(|(_, until)| now < until);
        let before = before.map(|(rate, _)| rate);
        let key = self.by_identity.get(identity).copied();
        if let Some((key, runner)) = key.and_then(|k| Some((k, self.runners.get_mut(k)?))) {
            runner.limit.announce_cold(rate, until);
            if rate.is_some() && !was_cold {
                runner.begin_slow_start();
            }
            self.track_limit(key);
        }
        before != rate
    }

    /// Records a connection that a runner refused or closed, which takes `rate` requests a second when
    /// it is cold. Returns whether the runner counts as cold from now on.
    pub fn on_connection_lost(&mut self, now: Duration, key: RunnerKey, rate: f64) -> bool {
        let Some(runner) = self.runners.get_mut(key) else {
            return false;
        };
        let became_cold = runner.limit.on_connection_lost(now, rate);
        // It may return empty.
        runner.begin_slow_start();
        self.track_limit(key);
        became_cold
    }

    /// Records load reports that show another start of a runner than the list: it started again, and takes
    /// what `rates` state for its service. The leader may be a new one that does not know this.
    pub fn note_other_starts(
        &mut self,
        now: Duration,
        loads: &[RunnerLoad],
        rates: &HashMap<ServiceName, f64>,
    ) {
        let starts = loads.iter().map(|l| (l.reading.address, l.traits.born_ms));
        let starts: HashMap<SocketAddr, u64> = starts.filter(|(_, born)| *born != 0).collect();
        let mut found = Vec::new();
        for (key, runner) in &self.runners {
            let Some(rate) = rates.get(&runner.record.service) else {
                continue;
            };
            let (reported, listed) = (starts.get(&runner.record.address), runner.record.born_ms);
            let is_other = listed != 0 && reported.is_some_and(|reported| *reported != listed);
            if runner.listed && is_other {
                found.push((key, *rate));
            }
        }
        for (key, rate) in found {
            if let Some(runner) = self.runners.get_mut(key) {
                if runner.limit.on_connection_lost(now, rate) {
                    runner.begin_slow_start();
                }
            }
            self.track_limit(key);
        }
    }

    /// Records that this entry stood still, and may not know which runners of services that warm up are
    /// cold; `rates` are what their runners take then.
    pub fn on_pause(&mut self, now: Duration, rates: &HashMap<ServiceName, f64>) {
        let mut keys = Vec::new();
        for (key, runner) in &mut self.runners {
            if let Some(rate) = rates.get(&runner.record.service) {
                runner.limit.on_pause(now, *rate);
                keys.push(key);
            }
        }
        for key in keys {
            self.track_limit(key);
        }
    }

    /// Ends the warm-ups of runners whose service declares none.
    pub fn end_other_warm_ups(&mut self, rates: &HashMap<ServiceName, f64>) {
        for runner in self.runners.values_mut() {
            if !rates.contains_key(&runner.record.service) {
                runner.limit.end_warm_up();
                runner.slow_start = None;
            }
        }
        if rates.is_empty() {
            self.announced_cold.clear();
        }
        self.forget_ended_limits();
    }

    /// Removes runners whose limit has ended from the set of those with one.
    pub fn forget_ended_limits(&mut self) {
        let runners = &self.runners;
        self.limited.retain(|key| {
            let runner = runners.get(*key);
            runner.is_some_and(|r| r.limit.rate().is_some())
        });
    }

    /// Updates the set of runners with a request limit after a change of one runner's limit.
    pub fn track_limit(&mut self, key: RunnerKey) {
        let runner = self.runners.get(key);
        let is_limited = runner.is_some_and(|r| r.limit.rate().is_some());
        self.limited.retain(|k| *k != key);
        if is_limited {
            self.limited.push(key);
        }
    }

    /// Returns the state of the runner with this identity for modification.
    pub fn find_mut(&mut self, identity: &CompactString) -> Option<&mut RunnerState> {
        let key = self.by_identity.get(identity)?;
        self.runners.get_mut(*key)
    }

    /// Returns the listed runners with a request limit.
    pub fn limited(&self) -> impl Iterator<Item = &RunnerState> {
        let limited = self.limited.iter();
        let limited = limited.filter_map(|key| self.runners.get(*key));
        limited.filter(|r| r.listed)
    }

    /// Calls `f` with each listed runner that has a request limit.
    pub fn for_each_limited<F>(&mut self, mut f: F)
    where
        F: FnMut(&mut RunnerState),
    {
        for key in &self.limited {
            if let Some(runner) = self.runners.get_mut(*key).filter(|r| r.listed) {
                f(runner);
            }
        }
    }

    /// Returns the number of runners in each condition.
    pub fn count(&self, now: Duration) -> [(RunnerCondition, usize); RunnerCondition::ALL.len()] {
        RunnerCondition::ALL.map(|condition| {
            let matching = self.runners.values();
            let matching = matching.filter(|r| r.condition(now) == condition);
            (condition, matching.count())
        })
    }
}
