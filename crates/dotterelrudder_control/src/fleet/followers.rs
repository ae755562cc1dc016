//! The processes that follow the leader, and the soft state that it passes on to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::FleetQuery;
use dotterelrudder_wire::FleetState;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerLoadUpdate;
use dotterelrudder_wire::RunnerRecord;

use super::follower::Follower;
use super::CacheDirectory;
use super::WeightWaves;
use crate::Output;
use crate::ReplicatedState;

/// How often changed loads are passed on to entries; a tenth of the strictest objective is below
/// what a load report is good for anyway.
const PASS_LOADS_EVERY: Duration = Duration::from_millis(200);
/// How often changes of the directory are passed on: a part that was saved is asked for again
/// within tenths of a second.
const PASS_DIRECTORY_EVERY: Duration = Duration::from_millis(60);
/// A process that asked nothing for this long doesn't follow any more: six times the period of its
/// questions.
const FORGET_AFTER: Duration = Duration::from_secs(3);

/// Followers, the list of backend servers and their loads.
#[derive(Debug, Default)]
pub(crate) struct Followers {
    by_name: BTreeMap<InstanceName, Follower>,
    rows: Vec<RunnerRecord>,
    list_number: u64,
    loads: BTreeMap<SocketAddr, RunnerLoad>,
    /// The loads that changed, and whether in what rarely changes.
    changed: BTreeMap<SocketAddr, bool>,
    pass_at: Duration,
    pass_directory_at: Duration,
    waves: WeightWaves,
    pub(crate) directory: CacheDirectory,
}

impl Followers {
    /// Answers a question with what is in force, and with the list if the asker lacks it.
    pub(crate) fn answer(
        &mut self,
        from: InstanceName,
        query: &FleetQuery,
        state: &ReplicatedState,
        controls: Vec<InstanceName>,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let known = self.by_name.get(&from);
        let list_sent = known.map_or(0, |f| f.list_sent);
        let entry_is_new = known.is_none() && query.beside.is_none();
        let directory = known.map_or(query.directory, |f| f.directory_after(query.directory));
        let follower = Follower {
            asked: query.asked,
            asked_at: now,
            held: query.held,
            beside: query.beside,
            directory,
            directory_held: query.directory,
            directory_then: self.directory.number(),
            list_sent,
        };
        self.by_name.insert(from.clone(), follower);
        self.send_directory(&from, out);
        self.send_view(&from, state, controls, now, out);
        self.send_list(&from, out);
        if entry_is_new && !self.loads.is_empty() {
            let loads = self.loads.values().map(|l| news_of(l, true));
            let message = Message::RunnerLoadUpdate(loads.collect());
            out.push(Output::Send { to: from, message });
        }
    }

    fn send_view(
        &mut self,
        to: &InstanceName,
        state: &ReplicatedState,
        controls: Vec<InstanceName>,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let clock = self.directory.engine_clock_ms(now);
        let entries = self.entry_count();
        let Some(follower) = self.by_name.get_mut(to) else {
            return;
        };
        let whole = state.deployment_configuration();
        let behind = follower.held < whole.version;
        follower.held = follower.held.max(whole.version);
        let fleet_state = FleetState {
            asked: follower.asked,
            version: whole.version,
            configuration: behind.then(|| Box::new(whole.clone())),
            weights: state.named_weights(),
            controls,
            directory: follower.directory,
            engine_clock_ms: clock,
            entries,
        };
        out.push(Output::Send {
            to: to.clone(),
            message: Message::Fleet(Box::new(fleet_state)),
        });
    }

    fn send_list(&mut self, to: &InstanceName, out: &mut Vec<Output>) {
        let Some(follower) = self.by_name.get_mut(to) else {
            return;
        };
        // A side needs no list: it knows its own runner.
        if follower.list_sent == self.list_number || follower.beside.is_some() {
            return;
        }
        follower.list_sent = self.list_number;
        out.push(Output::Send {
            to: to.clone(),
            message: Message::Runners(self.rows.clone()),
        });
    }

    /// Brings an entry to the present directory, if it holds another one.
    fn send_directory(&mut self, to: &InstanceName, out: &mut Vec<Output>) {
        let number = self.directory.number();
        let Some(follower) = self.by_name.get_mut(to) else {
            return;
        };
        if follower.beside.is_some() || follower.directory == number {
            return;
        }
        follower.directory = number;
        out.push(Output::Send {
            to: to.clone(),
            message: Message::Directory(self.directory.whole()),
        });
    }

    /// Passes changes of the directory on to entries.
    fn pass_directory(&mut self, out: &mut Vec<Output>) {
        let Some(update) = self.directory.take_update().map(Arc::new) else {
            return;
        };
        for (name, follower) in self.by_name.iter_mut().filter(|(_, f)| f.beside.is_none()) {
            if follower.directory == update.from {
                follower.directory = update.number;
                out.push(Output::Send {
                    to: name.clone(),
                    message: Message::Directory(update.clone()),
                });
            }
        }
    }

    /// Tells every follower of a change at once, without waiting for its next question.
    pub(crate) fn push_view(
        &mut self,
        state: &ReplicatedState,
        controls: &[InstanceName],
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        for name in self.by_name.keys().cloned().collect::<Vec<_>>() {
            self.send_view(&name, state, controls.to_vec(), now, out);
        }
    }

    /// Takes the platform's list and passes it on if it changed.
    pub(crate) fn listed(&mut self, records: Vec<RunnerRecord>, out: &mut Vec<Output>) {
        if records == self.rows && self.list_number > 0 {
            return;
        }
        self.rows = records;
        self.list_number += 1;
        for name in self.by_name.keys().cloned().collect::<Vec<_>>() {
            self.send_list(&name, out);
        }
    }

    /// Takes the loads that a side reports.
    pub(crate) fn reported(&mut self, loads: Vec<RunnerLoad>) {
        for load in loads {
            let address = load.reading.address;
            let before = self.loads.get(&address);
            let traits = before.is_none_or(|b| b.traits != load.traits);
            *self.changed.entry(address).or_default() |= traits;
            self.loads.insert(address, load);
        }
    }

    /// Forgets a process whose connection closed.
    pub(crate) fn closed(&mut self, peer: &InstanceName) {
        let gone = self.by_name.remove(peer);
        if let Some(address) = gone.and_then(|f| f.beside) {
            self.loads.remove(&address);
        }
    }

    /// Forgets everything that only a leader may keep.
    pub(crate) fn reset(&mut self) {
        let list_number = self.list_number;
        *self = Self::default();
        // Numbers go on, so that a list of an earlier leadership isn't taken for the present one.
        self.list_number = list_number;
    }

    /// Passes changed loads on and forgets who stopped asking.
    pub(crate) fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        if now >= self.pass_directory_at {
            self.pass_directory_at = now + PASS_DIRECTORY_EVERY;
            self.pass_directory(out);
        }
        if now < self.pass_at {
            return;
        }
        self.pass_at = now + PASS_LOADS_EVERY;
        self.by_name.retain(|_, f| now < f.asked_at + FORGET_AFTER);
        let changed = std::mem::take(&mut self.changed);
        let loads = changed.into_iter().filter_map(|(address, traits)| {
            let load = self.loads.get(&address)?;
            Some(news_of(load, traits))
        });
        let loads: Vec<RunnerLoadUpdate> = loads.collect();
        if loads.is_empty() {
            return;
        }
        for (name, _) in self.by_name.iter().filter(|(_, f)| f.beside.is_none()) {
            out.push(Output::Send {
                to: name.clone(),
                message: Message::RunnerLoadUpdate(loads.clone()),
            });
        }
    }

    /// Returns the orders to give now, so that all runners come to the named weights.
    pub(crate) fn plan_weights(
        &mut self,
        now: Duration,
        named: &[ModelWeights],
    ) -> Vec<(SocketAddr, ModelWeights)> {
        let beside = self.by_name.values().filter_map(|f| f.beside);
        let reachable: Vec<&RunnerLoad> = beside.filter_map(|a| self.loads.get(&a)).collect();
        self.waves.plan(now, named, &reachable)
    }

    /// Returns the side beside a runner.
    pub(crate) fn side_of(&self, runner: SocketAddr) -> Option<InstanceName> {
        let found = self.by_name.iter().find(|(_, f)| f.beside == Some(runner));
        found.map(|(name, _)| name.clone())
    }

    /// Tells entries at once that a runner is about to load, so that they spare it.
    pub(crate) fn mark_loading(&mut self, runner: SocketAddr) {
        if let Some(load) = self.loads.get_mut(&runner) {
            load.reading.loading = true;
            self.changed.entry(runner).or_default();
            self.pass_at = Duration::ZERO;
        }
    }

    fn entry_count(&self) -> u32 {
        self.by_name.values().filter(|f| f.beside.is_none()).count() as u32
    }
}

/// Tells a load to entries, with what rarely changes or without.
fn news_of(load: &RunnerLoad, with_traits: bool) -> RunnerLoadUpdate {
    RunnerLoadUpdate {
        reading: load.reading.clone(),
        traits: with_traits.then(|| Box::new(load.traits.clone())),
    }
}
