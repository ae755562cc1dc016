//! All runners that an entry knows.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerRecord;
use rand::Rng;
use slotmap::SlotMap;

use crate::FailureDetector;
use crate::RunnerCondition;
use crate::RunnerState;
use crate::SuspicionChange;

slotmap::new_key_type! {
    /// Names a runner in the table of an entry.
    pub struct RunnerKey;
}

/// The runners by key and by identity.
#[derive(Debug, Default)]
pub struct RunnerTable {
    runners: SlotMap<RunnerKey, RunnerState>,
    by_identity: HashMap<CompactString, RunnerKey>,
    failure_detector: FailureDetector,
}

impl RunnerTable {
    /// Takes the whole list of the platform.
    pub fn update_list(&mut self, records: Vec<RunnerRecord>) {
        for runner in self.runners.values_mut() {
            runner.listed = false;
        }
        for record in records {
            match self.by_identity.get(&record.identity) {
                Some(key) => {
                    if let Some(runner) = self.runners.get_mut(*key) {
                        runner.update(record);
                    }
                }
                None => {
                    let identity = record.identity.clone();
                    let key = self.runners.insert(RunnerState::new(record));
                    self.by_identity.insert(identity, key);
                }
            }
        }
        self.runners.retain(|_, r| r.listed || r.in_flight() > 0);
        let runners = &self.runners;
        self.by_identity.retain(|_, key| runners.contains_key(*key));
    }

    /// Takes load reports; returns the runners that are suspected from now on, or not any more.
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

    /// Takes a load report, which names a runner by its address; returns the runner if it was
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

    /// Draws the runners' places anew.
    pub fn resample_ranks<R>(&mut self, rng: &mut R)
    where
        R: Rng,
    {
        for runner in self.runners.values_mut() {
            runner.sampling_rank = rng.random();
        }
    }

    /// Returns a runner.
    pub fn get(&self, key: RunnerKey) -> Option<&RunnerState> {
        self.runners.get(key)
    }

    /// Returns a runner to change.
    pub fn get_mut(&mut self, key: RunnerKey) -> Option<&mut RunnerState> {
        self.runners.get_mut(key)
    }

    /// Returns the runners of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (RunnerKey, &'a RunnerState)> {
        let all = self.runners.iter();
        all.filter(move |(_, r)| r.listed && r.record.service == *service)
    }

    /// Returns how many runners are in each condition.
    pub fn count(&self, now: Duration) -> [(RunnerCondition, usize); RunnerCondition::ALL.len()] {
        RunnerCondition::ALL.map(|condition| {
            let matching = self.runners.values();
            let matching = matching.filter(|r| r.condition(now) == condition);
            (condition, matching.count())
        })
    }
}
