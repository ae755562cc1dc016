//! Publishing of the leader's soft state to fleet clients: answers to fleet queries, and pushed
//! runner loads, directory updates and lists of backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::LeavingRunner;
use dotterelrudder_types::LeavingRunners;
use dotterelrudder_wire::FleetQuery;
use dotterelrudder_wire::FleetState;
use dotterelrudder_wire::LimitReport;
use dotterelrudder_wire::LimitUpdate;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerLoadUpdate;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::RunnerSoftware;

use super::fleet_client::FleetClient;
use super::CacheDirectory;
use super::ColdRunners;
use super::LimitLedger;
use super::PartLedger;
use super::WeightRollout;
use crate::Output;
use crate::ReplicatedState;

/// Interval at which changed runner loads are pushed to entries: a tenth of the strictest
/// objective, which is shorter than the time for which a load report is useful.
const LOAD_PUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which directory changes are pushed to entries. A part is often requested again
/// within tenths of a second after it was saved.
const DIRECTORY_PUSH_INTERVAL: Duration = Duration::from_millis(60);
/// A client without a query for this long is removed. The timeout is six times the interval of the
/// queries.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The fleet clients and the soft state that the leader publishes to them.
#[derive(Debug, Default)]
pub(crate) struct FleetPublisher {
    clients: BTreeMap<InstanceName, FleetClient>,
    runner_records: Vec<RunnerRecord>,
    runner_list_number: u64,
    loads: BTreeMap<SocketAddr, RunnerLoad>,
    /// Runners whose load changed since the last push, and whether their attributes changed too.
    changed_loads: BTreeMap<SocketAddr, bool>,
    next_load_push_at: Duration,
    next_directory_push_at: Duration,
    rollout: WeightRollout,
    pub(crate) directory: CacheDirectory,
    pub(crate) limits: LimitLedger,
    cold: ColdRunners,
    pub(crate) parts: PartLedger,
    /// Reported by entries to all control instances, so that a new leader knows them.
    leaving: LeavingRunners,
}

impl FleetPublisher {
    /// Answers a fleet query with the fleet state and, where the client does not hold them, the
    /// directory, the list of backend servers and all runner loads.
    pub(crate) fn answer_query(
        &mut self,
        from: InstanceName,
        query: &FleetQuery,
        state: &ReplicatedState,
        controls: Vec<InstanceName>,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let previous = self.clients.get(&from);
        let runner_list_sent = previous.map_or(0, |f| f.runner_list_sent);
        let evacuations_sent = previous.and_then(|f| f.evacuations_sent.clone());
        let entry_is_new = previous.is_none() && query.beside.is_none();
        let directory_sent = previous.map_or(query.directory, |f| {
            f.directory_after_delivery(query.directory)
        });
        let client = FleetClient {
            last_query: query.asked,
            queried_at: now,
            configuration_version: query.held,
            colocated_runner: query.beside,
            directory_sent,
            directory_held_at_query: query.directory,
            directory_at_query: self.directory.number(),
            runner_list_sent,
            evacuations_sent,
        };
        self.clients.insert(from.clone(), client);
        self.apply_configuration(state, now, out);
        // Evacuations go before the list, which may name backend servers in other data centres.
        self.send_evacuations(&from, state, out);
        // The fleet state makes an entry ready, which has to know limits and blocks by then.
        if entry_is_new {
            send_limits(&from, self.limits.limits(), out);
            self.send_warm_ups(&from, now, out);
            self.send_verdicts(&from, now, out);
            send_leaving(&from, self.leaving.all(), out);
        }
        self.send_directory(&from, out);
        // The fleet state confirms the list, which has to be there by then.
        self.send_runner_list(&from, now, out);
        self.send_fleet_state(&from, state, controls, now, out);
        if entry_is_new && !self.loads.is_empty() {
            let loads = self.loads.values().map(|l| load_update(l, true));
            let message = Message::RunnerLoadUpdate(loads.collect());
            out.push(Output::Send { to: from, message });
        }
    }

    fn send_fleet_state(
        &mut self,
        to: &InstanceName,
        state: &ReplicatedState,
        controls: Vec<InstanceName>,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        self.send_evacuations(to, state, out);
        let clock = self.directory.engine_clock_ms(now);
        let entries = self.entry_count();
        let Some(client) = self.clients.get_mut(to) else {
            return;
        };
        let deployment = state.deployment_configuration();
        let behind = client.configuration_version < deployment.version;
        client.configuration_version = client.configuration_version.max(deployment.version);
        let fleet_state = FleetState {
            asked: client.last_query,
            version: deployment.version,
            configuration: behind.then(|| Box::new(deployment.clone())),
            weights: state.named_weights(),
            controls,
            directory: client.directory_sent,
            engine_clock_ms: clock,
            entries,
        };
        out.push(Output::Send {
            to: to.clone(),
            message: Message::Fleet(Box::new(fleet_state)),
        });
    }

    /// Applies the warm-ups of the configuration in force, and announces a change.
    fn apply_configuration(
        &mut self,
        state: &ReplicatedState,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        if self.cold.configure(state.deployment_configuration()) {
            self.push_warm_ups(now, out);
        }
    }

    /// Announces the rates of all runners that warm up to an entry.
    fn send_warm_ups(&self, to: &InstanceName, now: Duration, out: &mut Vec<Output>) {
        if let Some(warm_ups) = self.cold.announcement(now) {
            out.push(Output::Send {
                to: to.clone(),
                message: Message::RunnerWarmUps(warm_ups),
            });
        }
    }

    /// Announces runners that became cold or warm to all entries, and grants by the new rates.
    fn push_warm_ups(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(warm_ups) = self.cold.take_announcement(now) else {
            return;
        };
        self.limits.set_cold(now, self.cold.rates());
        let clients = self.clients.iter();
        for (name, _) in clients.filter(|(_, f)| f.colocated_runner.is_none()) {
            out.push(Output::Send {
                to: name.clone(),
                message: Message::RunnerWarmUps(warm_ups.clone()),
            });
        }
    }

    /// Presumes that all runners of a data centre are cold, and announces it. It is called when an
    /// evacuation of the data centre ends.
    pub(crate) fn presume_cold(
        &mut self,
        data_centre: &DataCentre,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        self.cold.presume_cold(data_centre, now);
        self.push_warm_ups(now, out);
    }

    /// Sends the evacuated data centres to an entry that was sent others, or none. Nothing is sent
    /// until a data centre is evacuated for the first time.
    fn send_evacuations(
        &mut self,
        to: &InstanceName,
        state: &ReplicatedState,
        out: &mut Vec<Output>,
    ) {
        if !state.had_evacuations() {
            return;
        }
        let clients = &mut self.clients;
        let entry = clients.get_mut(to).filter(|f| f.colocated_runner.is_none());
        let Some(entry) = entry else {
            return;
        };
        let evacuated = state.evacuated();
        if entry.evacuations_sent.as_ref() == Some(&evacuated) {
            return;
        }
        entry.evacuations_sent = Some(evacuated.clone());
        out.push(Output::Send {
            to: to.clone(),
            message: Message::Evacuations(evacuated),
        });
    }

    /// Returns whether the list of backend servers is known.
    pub(crate) fn has_runner_list(&self) -> bool {
        !self.runner_records.is_empty()
    }

    /// Returns the number of listed backend servers in a data centre.
    pub(crate) fn count_runners_in(&self, data_centre: &DataCentre) -> usize {
        let listed = self.runner_records.iter();
        listed.filter(|r| r.data_centre == *data_centre).count()
    }

    fn send_runner_list(&mut self, to: &InstanceName, now: Duration, out: &mut Vec<Output>) {
        let Some(client) = self.clients.get_mut(to) else {
            return;
        };
        // A side does not need the list, since it serves only its own runner.
        if client.runner_list_sent == self.runner_list_number || client.colocated_runner.is_some() {
            return;
        }
        client.runner_list_sent = self.runner_list_number;
        // An entry must not use a new runner without knowing whether it is cold.
        self.send_warm_ups(to, now, out);
        let with_software = self.runner_records.iter().filter_map(|r| {
            let software = r.software.clone()?;
            Some((r.identity.clone(), software))
        });
        let versions = with_software.collect();
        out.push(Output::Send {
            to: to.clone(),
            message: Message::RunnerSoftware(RunnerSoftware { versions }),
        });
        out.push(Output::Send {
            to: to.clone(),
            message: Message::Runners(self.runner_records.clone()),
        });
    }

    /// Sends the directory snapshot to an entry that holds another directory number.
    fn send_directory(&mut self, to: &InstanceName, out: &mut Vec<Output>) {
        let number = self.directory.number();
        let Some(client) = self.clients.get_mut(to) else {
            return;
        };
        if client.colocated_runner.is_some() || client.directory_sent == number {
            return;
        }
        client.directory_sent = number;
        out.push(Output::Send {
            to: to.clone(),
            message: Message::Directory(self.directory.snapshot()),
        });
    }

    /// Pushes directory changes to the entries that hold the directory before them.
    fn push_directory(&mut self, out: &mut Vec<Output>) {
        let Some(update) = self.directory.take_update().map(Arc::new) else {
            return;
        };
        for (name, client) in self
            .clients
            .iter_mut()
            .filter(|(_, f)| f.colocated_runner.is_none())
        {
            if client.directory_sent == update.from {
                client.directory_sent = update.number;
                out.push(Output::Send {
                    to: name.clone(),
                    message: Message::Directory(update.clone()),
                });
            }
        }
    }

    /// Sends the fleet state to every client at once, without waiting for its next query.
    pub(crate) fn broadcast_fleet_state(
        &mut self,
        state: &ReplicatedState,
        controls: &[InstanceName],
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        self.apply_configuration(state, now, out);
        for name in self.clients.keys().cloned().collect::<Vec<_>>() {
            self.send_fleet_state(&name, state, controls.to_vec(), now, out);
        }
    }

    /// Replaces the list of backend servers and sends it to entries if it changed.
    pub(crate) fn set_runner_list(
        &mut self,
        mut records: Vec<RunnerRecord>,
        state: &ReplicatedState,
        wall_clock_ms: u64,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        self.apply_configuration(state, now, out);
        self.cold.on_list(&records, wall_clock_ms, now);
        self.push_warm_ups(now, out);
        self.limits.set_cold(now, self.cold.rates());
        // Entries are told by another message, and the time changes with each reading.
        for record in &mut records {
            record.cold_left = None;
        }
        if records == self.runner_records && self.runner_list_number > 0 {
            return;
        }
        self.runner_records = records;
        self.runner_list_number += 1;
        for name in self.clients.keys().cloned().collect::<Vec<_>>() {
            self.send_runner_list(&name, now, out);
        }
    }

    /// Records the runner loads that a side reports. A start that they show is announced before them.
    pub(crate) fn record_loads(
        &mut self,
        loads: Vec<RunnerLoad>,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        for load in loads {
            let address = load.reading.address;
            self.cold.on_report(address, load.traits.born_ms, now);
            let before = self.loads.get(&address);
            let traits = before.is_none_or(|b| b.traits != load.traits);
            *self.changed_loads.entry(address).or_default() |= traits;
            self.loads.insert(address, load);
        }
        self.push_warm_ups(now, out);
    }

    /// Answers an entry's report about request limits with permits.
    pub(crate) fn answer_limit_report(
        &mut self,
        from: InstanceName,
        report: LimitReport,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let (grants, ended) = self.limits.on_report(&from, report, now);
        send_limits(&from, ended, out);
        out.push(Output::Send {
            to: from,
            message: Message::LimitGrants(grants),
        });
        self.push_limits(out);
    }

    /// Applies an entry's report about parts of prompts, and sends it the blocks if it holds others.
    pub(crate) fn on_part_report(
        &mut self,
        from: &InstanceName,
        report: PartReport,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        if self.parts.on_report(report, now) {
            self.send_verdicts(from, now, out);
        }
        self.push_verdicts(now, out);
    }

    /// Records backend servers that are leaving, and announces those that were not known to all entries
    /// but the one that reported them. Only a leader has clients.
    pub(crate) fn on_leaving_runners(
        &mut self,
        from: &InstanceName,
        mut runners: Vec<LeavingRunner>,
        out: &mut Vec<Output>,
    ) {
        runners.retain(|runner| self.leaving.add(runner.clone()));
        let clients = self.clients.iter();
        let entries = clients.filter(|(_, f)| f.colocated_runner.is_none());
        for (name, _) in entries.filter(|(name, _)| *name != from) {
            send_leaving(name, runners.clone(), out);
        }
    }

    fn send_verdicts(&self, to: &InstanceName, now: Duration, out: &mut Vec<Output>) {
        out.push(Output::Send {
            to: to.clone(),
            message: Message::PartVerdicts(Arc::new(self.parts.verdicts(now))),
        });
    }

    /// Sends changed verdicts on parts of prompts to all entries.
    fn push_verdicts(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(verdicts) = self.parts.take_update(now).map(Arc::new) else {
            return;
        };
        let clients = self.clients.iter();
        for (name, _) in clients.filter(|(_, f)| f.colocated_runner.is_none()) {
            out.push(Output::Send {
                to: name.clone(),
                message: Message::PartVerdicts(verdicts.clone()),
            });
        }
    }

    /// Sends changed request limits to all entries.
    fn push_limits(&mut self, out: &mut Vec<Output>) {
        let updates = self.limits.take_updates();
        let clients = self.clients.iter();
        for (name, _) in clients.filter(|(_, f)| f.colocated_runner.is_none()) {
            send_limits(name, updates.clone(), out);
        }
    }

    /// Removes a client whose connection closed, with the load of its runner.
    pub(crate) fn remove_client(&mut self, peer: &InstanceName) {
        self.limits.remove_entry(peer);
        let gone = self.clients.remove(peer);
        if let Some(address) = gone.and_then(|f| f.colocated_runner) {
            self.loads.remove(&address);
        }
    }

    /// Clears the soft state when leadership ends.
    pub(crate) fn reset(&mut self) {
        let runner_list_number = self.runner_list_number;
        let leaving = std::mem::take(&mut self.leaving);
        *self = Self::default();
        // A server that is leaving stays so under the next leader.
        self.leaving = leaving;
        // The number keeps increasing, so that a list from an earlier leadership of this replica
        // does not count as the current one.
        self.runner_list_number = runner_list_number;
    }

    /// Pushes permits, changed limits, loads and directory changes, and removes clients that timed
    /// out.
    pub(crate) fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        for (to, grants) in self.limits.tick(now) {
            let message = Message::LimitGrants(grants);
            out.push(Output::Send { to, message });
        }
        self.push_limits(out);
        self.cold.tick(now);
        self.push_warm_ups(now, out);
        self.parts.tick(now);
        self.push_verdicts(now, out);
        if now >= self.next_directory_push_at {
            self.next_directory_push_at = now + DIRECTORY_PUSH_INTERVAL;
            self.push_directory(out);
        }
        if now < self.next_load_push_at {
            return;
        }
        self.next_load_push_at = now + LOAD_PUSH_INTERVAL;
        self.clients
            .retain(|_, f| now < f.queried_at + CLIENT_TIMEOUT);
        let changed_loads = std::mem::take(&mut self.changed_loads);
        let loads = changed_loads.into_iter().filter_map(|(address, traits)| {
            let load = self.loads.get(&address)?;
            Some(load_update(load, traits))
        });
        let loads: Vec<RunnerLoadUpdate> = loads.collect();
        if loads.is_empty() {
            return;
        }
        for (name, _) in self
            .clients
            .iter()
            .filter(|(_, f)| f.colocated_runner.is_none())
        {
            out.push(Output::Send {
                to: name.clone(),
                message: Message::RunnerLoadUpdate(loads.clone()),
            });
        }
    }

    /// Returns the orders to issue now, so that all runners load the named weights.
    pub(crate) fn plan_weights(
        &mut self,
        now: Duration,
        named: &[ModelWeights],
    ) -> Vec<(SocketAddr, ModelWeights)> {
        let connected = self.clients.values().filter_map(|f| f.colocated_runner);
        let reachable: Vec<&RunnerLoad> = connected.filter_map(|a| self.loads.get(&a)).collect();
        self.rollout.plan(now, named, &reachable)
    }

    /// Returns the side that serves a runner.
    pub(crate) fn side_of(&self, runner: SocketAddr) -> Option<InstanceName> {
        let found = self
            .clients
            .iter()
            .find(|(_, f)| f.colocated_runner == Some(runner));
        found.map(|(name, _)| name.clone())
    }

    /// Marks a runner as loading and pushes this to entries at the next tick, so that they stop
    /// sending requests to it before it loads.
    pub(crate) fn mark_loading(&mut self, runner: SocketAddr) {
        if let Some(load) = self.loads.get_mut(&runner) {
            load.reading.loading = true;
            self.changed_loads.entry(runner).or_default();
            self.next_load_push_at = Duration::ZERO;
        }
    }

    fn entry_count(&self) -> u32 {
        self.clients
            .values()
            .filter(|f| f.colocated_runner.is_none())
            .count() as u32
    }
}

/// Builds the load update for entries, with or without the runner's attributes.
fn load_update(load: &RunnerLoad, with_attributes: bool) -> RunnerLoadUpdate {
    RunnerLoadUpdate {
        reading: load.reading.clone(),
        traits: with_attributes.then(|| Box::new(load.traits.clone())),
    }
}

/// Sends limits to an entry, unless there are none.
fn send_limits(to: &InstanceName, limits: Vec<LimitUpdate>, out: &mut Vec<Output>) {
    if !limits.is_empty() {
        out.push(Output::Send {
            to: to.clone(),
            message: Message::RunnerLimits(limits),
        });
    }
}

/// Sends backend servers that are leaving to an entry, unless there are none.
fn send_leaving(to: &InstanceName, runners: Vec<LeavingRunner>, out: &mut Vec<Output>) {
    if !runners.is_empty() {
        out.push(Output::Send {
            to: to.clone(),
            message: Message::LeavingRunners(runners),
        });
    }
}
