//! The leader's duties in the control role: fleet queries, store reports, the list of backend
//! servers and weight orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::FleetQuery;
use dotterelrudder_wire::LimitReport;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::ModelWeights;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::PartVerdicts;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::WeightOrder;

use super::ControlCore;
use crate::Origin;
use crate::Output;
use crate::StoreReport;

/// Low bits of a directory number, which count changes within a term; the high bits hold the term.
const DIRECTORY_NUMBER_BITS: u32 = 40;

impl ControlCore {
    /// Returns whether this replica leads under a valid lease, so that its state is the newest.
    pub fn holds_leader_lease(&self, now: Duration) -> bool {
        self.raft.holds_leader_lease(now)
    }

    /// Returns whether there are as many voters as the settings require, so that an acknowledged
    /// change survives the losses that the deployment tolerates.
    pub fn has_enough_voters(&self) -> bool {
        let wanted = self.settings.voters.unwrap_or(1);
        self.raft.voter_count() >= wanted
    }

    /// Returns whether this replica handed its vote over before its planned stop, or can't.
    pub fn may_stop(&self) -> bool {
        self.raft.may_stop()
    }

    /// Returns the control instances that vote in the Raft group.
    pub fn voting_instances(&self) -> Vec<InstanceName> {
        let voters = self.raft.members().iter().filter(|m| m.voter);
        voters.map(|m| m.instance.clone()).collect()
    }

    /// Returns the control instances that are members of the Raft group, voters and learners.
    pub fn control_instances(&self) -> Vec<InstanceName> {
        let members = self.raft.members().iter();
        members.map(|m| m.instance.clone()).collect()
    }

    pub(super) fn on_fleet_query(
        &mut self,
        from: InstanceName,
        query: &FleetQuery,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        if !self.holds_leader_lease(now) {
            let leader = self.leader_instance();
            out.push(Output::Send {
                to: from,
                message: Message::NotLeader { leader },
            });
            return;
        }
        self.handle_ended_evacuations(now, out);
        let controls = self.control_instances();
        self.fleet_publisher
            .answer_query(from, query, &self.state, controls, now, out);
    }

    /// Answers an entry's report about request limits; only a leader under a valid lease does, so
    /// that two replicas never grant the same limit.
    pub(super) fn on_limit_report(
        &mut self,
        from: InstanceName,
        report: LimitReport,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        if self.was_leader && self.holds_leader_lease(now) {
            self.fleet_publisher
                .answer_limit_report(from, report, now, out);
        }
    }

    /// Applies an entry's report about parts of prompts; only a leader under a valid lease does.
    pub(super) fn on_part_report(
        &mut self,
        from: &InstanceName,
        report: PartReport,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        if self.was_leader && self.holds_leader_lease(now) {
            self.fleet_publisher.on_part_report(from, report, now, out);
        }
    }

    /// Applies the blocks of parts that another control instance knows: the leader's announcement, or
    /// what a new leader is told.
    pub(super) fn on_known_blocks(&mut self, verdicts: &PartVerdicts, now: Duration) {
        self.update_leadership(now);
        let parts = &mut self.fleet_publisher.parts;
        if self.was_leader {
            parts.on_reminder(verdicts, now);
        } else {
            parts.on_announced(verdicts, now);
        }
    }

    /// Tells a new leader the blocks that the one before announced. They are sent before the reply
    /// that may complete its lease, so that it knows them before it makes an entry ready.
    pub(super) fn remind_leader(&mut self, now: Duration, out: &mut Vec<Output>) {
        let leader = self.leader_instance();
        let Some(to) = leader.filter(|l| *l != self.settings.name) else {
            return;
        };
        let term = self.raft.term();
        if let Some(verdicts) = self.fleet_publisher.parts.take_reminder(term, now) {
            out.push(Output::Send {
                to,
                message: Message::PartVerdicts(Arc::new(verdicts)),
            });
        }
    }

    /// Returns the stores whose contents this replica must read; empty unless it leads.
    pub fn stores_to_read(&self, now: Duration) -> Vec<SocketAddr> {
        if self.holds_leader_lease(now) {
            self.fleet_publisher.directory.stores_to_read(now)
        } else {
            Vec::new()
        }
    }

    pub(super) fn on_store_report(&mut self, report: StoreReport, now: Duration) {
        if !self.was_leader {
            return;
        }
        let directory = &mut self.fleet_publisher.directory;
        match report {
            StoreReport::Listed {
                store,
                epoch,
                clock_ms,
                held,
                partial,
            } => {
                directory.record_clock(now, store, clock_ms);
                directory.apply_listing(now, store, epoch, &held, &partial);
            }
            StoreReport::Changed {
                store,
                epoch,
                clock_ms,
                events,
            } => {
                directory.record_clock(now, store, clock_ms);
                directory.apply_events(now, store, epoch, &events);
            }
            StoreReport::Lost { store } => directory.mark_unreachable(store),
        }
    }

    pub(super) fn on_runners_listed(
        &mut self,
        records: Vec<RunnerRecord>,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        if self.holds_leader_lease(now) {
            self.fleet_publisher.set_runner_list(
                records,
                &self.state,
                self.wall_clock_ms,
                now,
                out,
            );
        }
    }

    /// Presumes that all runners of a data centre are cold that warm up, since nothing was sent to them
    /// while the data centre was evacuated. The caller makes sure that this replica leads.
    pub fn presume_cold(&mut self, data_centre: &DataCentre, now: Duration, out: &mut Vec<Output>) {
        self.fleet_publisher.presume_cold(data_centre, now, out);
    }

    /// Returns the versions whose change is pushed to fleet clients at once: that of the deployment
    /// configuration and the named weights.
    pub(super) fn fleet_versions(&self) -> (u64, Vec<ModelWeights>) {
        let version = self.state.deployment_configuration().version;
        (version, self.state.named_weights())
    }

    pub(super) fn push_fleet_state(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.raft.is_leader() && self.is_fresh(now) {
            let controls = self.control_instances();
            self.fleet_publisher
                .broadcast_fleet_state(&self.state, &controls, now, out);
            self.fleet_publisher
                .directory
                .configure(self.state.deployment_configuration());
        }
    }

    /// Begins or ends the leader's duties when leadership changed.
    fn update_leadership(&mut self, now: Duration) {
        let leads = self.raft.is_leader();
        if self.was_leader && !leads {
            self.fleet_publisher.reset();
        }
        if leads && !self.was_leader {
            // Terms only increase, so that a directory number of an earlier leader is never reused.
            let number = self.raft.term() << DIRECTORY_NUMBER_BITS;
            self.fleet_publisher.directory.begin_leadership(now, number);
            self.fleet_publisher.limits.begin_leadership(now);
            self.fleet_publisher.parts.begin_leadership(now);
        }
        self.was_leader = leads;
    }

    pub(super) fn tick_fleet(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.update_leadership(now);
        if !self.was_leader || !self.holds_leader_lease(now) {
            return;
        }
        self.handle_ended_evacuations(now, out);
        let directory = &mut self.fleet_publisher.directory;
        let named = self.state.named_weights();
        directory.configure(self.state.deployment_configuration());
        directory.set_named_weights(&named);
        for order in directory.tick(now) {
            out.push(Output::FreePartsOrder(order));
        }
        let orders = self.fleet_publisher.plan_weights(now, &named);
        for (runner, weights) in orders {
            self.fleet_publisher.mark_loading(runner);
            let command = Command::OrderWeights { runner, weights };
            self.propose(Origin::Internal, command, now, out);
        }
        self.fleet_publisher.tick(now, out);
        if let Some(verdicts) = self.fleet_publisher.parts.take_announcement(now) {
            let verdicts = Arc::new(verdicts);
            let own = self.settings.name.clone();
            let peers = self.control_instances().into_iter();
            out.extend(peers.filter(|p| *p != own).map(|to| Output::Send {
                to,
                message: Message::PartVerdicts(verdicts.clone()),
            }));
        }
    }

    /// Sends a committed weight order to the runner's side; its fencing number is its log index.
    pub(super) fn send_weight_order(
        &mut self,
        fence: u64,
        runner: SocketAddr,
        weights: &ModelWeights,
        out: &mut Vec<Output>,
    ) {
        if !self.raft.is_leader() {
            return;
        }
        if let Some(side) = self.fleet_publisher.side_of(runner) {
            let order = WeightOrder {
                fence,
                runner,
                weights: weights.clone(),
            };
            out.push(Output::Send {
                to: side,
                message: Message::WeightOrder(order),
            });
        }
    }
}
