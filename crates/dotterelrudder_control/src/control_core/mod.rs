//! The control role as a state machine: the Raft replica, the replicated state, configuration
//! subscribers, fleet clients and weight orders behind one interface.

mod bootstrap;
mod evacuations;
mod fleet;
mod proposing;
mod subscriptions;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use dotterelrudder_types::AttemptId;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::RaftMessage;

use crate::demand::Demand;
use crate::fleet::FleetPublisher;
use crate::order_planner::plan_orders;
use crate::proposals::Proposals;
use crate::subscribers::Subscribers;
use crate::ControlStatus;
use crate::Input;
use crate::InstanceStatus;
use crate::Origin;
use crate::Output;
use crate::Raft;
use crate::RaftOutput;
use crate::RaftTiming;
use crate::Recovered;
use crate::ReplicatedState;
use crate::StreamOrigins;

/// Interval at which each subscriber receives a confirmation that its revision is the newest.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// How long a side may be disconnected before the outcome of its claims becomes unknown.
const LOST_SIDE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the leader plans weight orders and checks the claims of lost sides.
const ORDER_PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Settings that a control instance is started with.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The instance's name.
    pub name: InstanceName,
    /// The other control instances, without this one.
    pub peers: Vec<InstanceName>,
    /// Intervals and timeouts of Raft; the same at all replicas.
    pub timing: RaftTiming,
    /// Whether a first start, with an empty disk, may bootstrap a new deployment.
    pub bootstrap: bool,
    /// Number of voters to keep; further replicas stay learners until a voter is lost. With `None`,
    /// every replica votes.
    pub voters: Option<usize>,
}

/// The control role without any I/O: events go in, effects come out.
#[derive(Debug)]
pub struct ControlCore {
    settings: ControlSettings,
    raft: Raft,
    state: ReplicatedState,
    subscribers: Subscribers,
    stream_origins: StreamOrigins,
    proposals: Proposals,
    /// Instances of the replicas that sent Raft messages, by disk identity.
    replica_instances: BTreeMap<u64, InstanceName>,
    wall_clock_ms: u64,
    seed: u64,
    next_confirm_at: Duration,
    next_join_at: Duration,
    next_plan_at: Duration,
    /// Attempts with a held claim whose side is disconnected, and since when.
    orphaned_since: BTreeMap<AttemptId, Duration>,
    /// Peers that agreed to a bootstrap; `None` when this replica does not bootstrap a deployment.
    bootstrap_agreed: Option<BTreeSet<InstanceName>>,
    /// Peers whose agreement the bootstrap needs: those of the settings at the start.
    bootstrap_peers: Vec<InstanceName>,
    /// When this replica started.
    started_at: Duration,
    /// Whether a message showed that a deployment exists.
    heard_of_deployment: bool,
    fleet_publisher: FleetPublisher,
    /// The data centres of the control instances seen so far.
    control_data_centres: BTreeSet<DataCentre>,
    /// Evacuations that ended a short time ago, and when, which this replica has not handled as the
    /// leader.
    ended_evacuations: Vec<(DataCentre, Duration)>,
    /// Whether this replica led at the last tick.
    was_leader: bool,
    /// Subscribers without a configuration, each with the log index to apply before the answer.
    starting_subscribers: Vec<(InstanceName, u64)>,
    demand: Demand,
}

impl ControlCore {
    /// Starts the role from the contents of its disk; `seed` determines disk identities and the
    /// randomised election timeouts.
    pub fn new(
        settings: ControlSettings,
        mut recovered: Recovered,
        seed: u64,
        now: Duration,
        out: &mut Vec<Output>,
    ) -> Self {
        let old = recovered.id;
        // A start that ended before the bootstrap leaves an identity and no entries on the disk.
        let holds_nothing = recovered.entries.is_empty() && recovered.snapshot.is_none();
        let first_start = holds_nothing && !recovered.is_corrupt();
        if recovered.is_corrupt() {
            out.push(Output::Rewrite {
                sequence: 0,
                records: Vec::new(),
            });
        }
        if old == 0 || recovered.is_corrupt() {
            recovered = Recovered {
                id: bootstrap::new_identity(seed),
                ..Recovered::default()
            };
        }
        let mut raft = Raft::new(recovered, settings.timing, seed, now);
        raft.confirm_as_new();
        raft.set_voters(settings.voters);

        if !first_start && old != raft.id() {
            out.push(Output::NewIdentity {
                old,
                new: raft.id(),
            });
        }
        let bootstrap_agreed = (first_start && settings.bootstrap).then(BTreeSet::new);
        let settings_peers = settings.peers.clone();
        let mut core = Self {
            settings,
            raft,
            state: ReplicatedState::default(),
            subscribers: Subscribers::default(),
            stream_origins: StreamOrigins::default(),
            proposals: Proposals::default(),
            replica_instances: BTreeMap::new(),
            wall_clock_ms: 0,
            seed,
            next_confirm_at: now,
            next_join_at: now,
            next_plan_at: now,
            orphaned_since: BTreeMap::new(),
            bootstrap_agreed,
            bootstrap_peers: settings_peers,
            started_at: now,
            heard_of_deployment: false,
            fleet_publisher: FleetPublisher::default(),
            control_data_centres: BTreeSet::new(),
            ended_evacuations: Vec::new(),
            was_leader: false,
            starting_subscribers: Vec::new(),
            demand: Demand::default(),
        };
        core.bootstrap_if_agreed(now);
        core.process_raft_outputs(now, out);
        core
    }

    /// Handles one event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::WallClock { at_ms } => self.wall_clock_ms = self.wall_clock_ms.max(at_ms),
            Input::Opened { peer, message_set } => {
                self.raft.set_message_set(peer.clone(), message_set);
                self.on_opened(peer, now, out);
            }
            Input::Closed { peer } => self.on_closed(&peer, now, out),
            Input::Message { from, message } => self.on_message(from, message, now, out),
            Input::Propose { tag, command } => {
                self.propose(Origin::Local(tag), command, now, out);
            }
            Input::Synced { sequence } => self.raft.synced(sequence),
            Input::Peers { peers } => self.settings.peers = peers,
            Input::ControlSeen { data_centre } => {
                self.control_data_centres.insert(data_centre);
            }
            Input::Store(report) => self.on_store_report(report, now),
            Input::RunnersListed { rows } => self.on_runners_listed(rows, now, out),
            Input::Stop => self.raft.begin_stop(now),
        }
        self.process_raft_outputs(now, out);
    }

    /// Returns the replicated state after the last entry that this replica applied.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns the Raft replica.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns whether this replica may serve reads as current: its disk identity is confirmed and
    /// its contact with a quorum is within the lease.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.raft.is_confirmed() && self.raft.is_fresh(now)
    }

    /// Returns the number of connected processes that have at least `revision` in force, and the
    /// number of all connected processes.
    pub fn count_in_force(&self, revision: Revision) -> (usize, usize) {
        self.subscribers.count_in_force(revision)
    }

    /// Returns this replica's status and the processes that it knows.
    pub fn status(&self, now: Duration) -> ControlStatus {
        let draining = self.state.draining();
        let instances = self
            .subscribers
            .by_name
            .iter()
            .map(|(name, s)| InstanceStatus {
                name: name.clone(),
                connected: s.connected,
                revision: s.in_force,
                weight_version: s
                    .load
                    .as_ref()
                    .map_or(String::new(), |l| l.version.to_string()),
                running: s.load.as_ref().map_or(0, |l| l.running),
                waiting: s
                    .load
                    .as_ref()
                    .map_or(0, |l| l.waiting_paying + l.waiting_trial),
                draining: draining.contains(name),
            });
        let members = self.raft.members().iter();
        ControlStatus {
            replica: format!("{:016x}", self.raft.id()),
            leads: self.raft.is_leader(),
            leader: self.leader_instance(),
            term: self.raft.term(),
            commit: self.raft.commit(),
            fresh: self.is_fresh(now),
            revision: self.state.configuration().revision,
            evacuated: self.state.evacuated(),
            members: members
                .map(|m| (m.instance.clone(), format!("{:016x}", m.id), m.voter))
                .collect(),
            claims: self.state.claim_count(),
            instances: instances.collect(),
        }
    }

    /// Returns the leading instance, or `None` when this replica knows no leader.
    pub fn leader_instance(&self) -> Option<InstanceName> {
        if self.raft.is_leader() {
            return Some(self.settings.name.clone());
        }
        let leader = self.raft.leader()?;
        let member = self.raft.members().iter().find(|m| m.id == leader);
        member
            .map(|m| m.instance.clone())
            .or_else(|| self.replica_instances.get(&leader).cloned())
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.raft.tick(now);
        self.join_if_needed(now, out);
        self.bootstrap_if_agreed(now);
        self.tick_fleet(now, out);
        for origin in self.proposals.take_timed_out(now) {
            self.answer(origin, proposing::unknown_outcome(), out);
        }
        if now >= self.next_confirm_at {
            self.next_confirm_at = now + CONFIRM_INTERVAL;
            self.subscribers.remove_expired(now);
            self.update_subscribers(now, true, out);
        }
        if now >= self.next_plan_at && self.raft.is_leader() && self.is_fresh(now) {
            self.next_plan_at = now + ORDER_PLAN_INTERVAL;
            self.mark_claims_of_lost_sides(now, out);
            for (side, version) in plan_orders(&self.state, &self.subscribers, self.wall_clock_ms) {
                let at_ms = self.wall_clock_ms;
                let command = Command::IssueOrder {
                    side,
                    version,
                    at_ms,
                };
                self.propose(Origin::Internal, command, now, out);
            }
        }
    }

    /// Proposes an unknown outcome for claims whose side has been disconnected for
    /// [`LOST_SIDE_TIMEOUT`], so that a resend gets that outcome instead of "in progress" for ever.
    fn mark_claims_of_lost_sides(&mut self, now: Duration, out: &mut Vec<Output>) {
        let held = self.state.held_claims();
        let connected = |side: &InstanceName| {
            self.subscribers
                .by_name
                .get(side)
                .is_some_and(|s| s.connected)
        };
        let orphaned: Vec<_> = held
            .into_iter()
            .filter(|(_, side, _)| !connected(side))
            .collect();
        self.orphaned_since
            .retain(|a, _| orphaned.iter().any(|(_, _, attempt)| attempt == a));
        for (key, _, attempt) in orphaned {
            let since = *self.orphaned_since.entry(attempt).or_insert(now);
            if now >= since + LOST_SIDE_TIMEOUT {
                let command = Command::MarkClaimLost { key, attempt };
                self.propose(Origin::Internal, command, now, out);
            }
        }
    }

    fn send_raft(&self, peer: InstanceName, to: u64, message: RaftMessage, out: &mut Vec<Output>) {
        let message = Message::Raft {
            from: self.raft.id(),
            to,
            message: Box::new(message),
        };
        out.push(Output::Send { to: peer, message });
    }

    fn on_opened(&mut self, peer: InstanceName, now: Duration, out: &mut Vec<Output>) {
        self.raft.set_connected(&peer, true, now);
        self.subscribers.opened(&peer);
        if self.settings.peers.contains(&peer) {
            let revision = self.state.configuration().revision;
            out.push(Output::Send {
                to: peer,
                message: Message::InForce { revision },
            });
        }
    }

    fn on_closed(&mut self, peer: &InstanceName, now: Duration, out: &mut Vec<Output>) {
        self.raft.set_connected(peer, false, now);
        self.subscribers.closed(peer, now);
        self.fleet_publisher.remove_client(peer);
        for origin in self.proposals.take_forwarded_to(peer) {
            self.answer(origin, proposing::unknown_outcome(), out);
        }
    }

    fn on_message(
        &mut self,
        from: InstanceName,
        message: Message,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        self.note_deployment(&message);
        match message {
            Message::Raft {
                from: id,
                to,
                message,
            } => {
                if let RaftMessage::JoinReply { empty } = *message {
                    self.on_join_reply(from.clone(), empty, now);
                }
                self.replica_instances.insert(id, from);
                if to == self.raft.id() || to == 0 {
                    self.raft.receive(id, *message, now);
                    self.remind_leader(now, out);
                }
            }
            Message::Subscribe { held } => self.on_subscribe(from, held, now, out),
            Message::InForce { revision } => {
                self.subscribers.get_or_insert(&from).in_force = revision;
            }
            // A replica that may hold an outdated configuration gives no shares; the entry then
            // limits the accounts by itself.
            Message::Demand(rows) if self.is_fresh(now) => {
                let accounts = &self.state.configuration().accounts;
                let declared = |name: &ClientAccount| {
                    accounts
                        .get(name)
                        .map_or(0.0, |a| a.requests_per_second as f32)
                };
                let shares = self.demand.report(&from, &rows, now, declared);
                let message = Message::Shares(shares);
                out.push(Output::Send { to: from, message });
            }
            Message::FleetQuery(query) => self.on_fleet_query(from, &query, now, out),
            Message::PartsUsed(keys) => self.fleet_publisher.directory.record_use(now, &keys),
            Message::LimitReport(report) => self.on_limit_report(from, report, now, out),
            Message::PartReport(report) => self.on_part_report(&from, report, now, out),
            Message::PartVerdicts(verdicts) => self.on_known_blocks(&verdicts, now),
            Message::StreamOrigins(streams) => self.stream_origins.record(now, streams),
            Message::OriginQuery { number, stream } => {
                let origin = self.stream_origins.find(stream).cloned();
                let message = Message::OriginReply { number, origin };
                out.push(Output::Send { to: from, message });
            }
            Message::RunnerLoads(loads) => {
                self.fleet_publisher.record_loads(loads, now, out);
            }
            Message::LeavingRunners(runners) => {
                self.fleet_publisher.on_leaving_runners(&from, runners, out);
            }
            Message::Load(load) => self.subscribers.get_or_insert(&from).load = Some(load),
            Message::OrderDone { version, .. } => {
                if let Some(load) = &mut self.subscribers.get_or_insert(&from).load {
                    load.version = version;
                }
            }
            Message::Propose { tag, command } => {
                self.propose(Origin::Peer { name: from, tag }, *command, now, out);
            }
            Message::Result { tag, result } => {
                if let Some(origin) = self.proposals.take_forwarded(tag) {
                    self.answer(origin, *result, out);
                }
            }
            _ => {}
        }
    }

    /// Processes the outputs of Raft until there are none left; applying an entry can add more.
    fn process_raft_outputs(&mut self, now: Duration, out: &mut Vec<Output>) {
        loop {
            let outputs = self.raft.take_outputs();
            if outputs.is_empty() {
                return;
            }
            let persists = outputs
                .iter()
                .filter(|o| matches!(o, RaftOutput::Persist(_) | RaftOutput::Rewrite(_)))
                .count() as u64;
            let mut sequence = self.raft.persist_sequence() - persists;
            for output in outputs {
                match output {
                    RaftOutput::Send { to, message } => self.send_to_replica(to, message, out),
                    RaftOutput::Persist(record) => {
                        sequence += 1;
                        out.push(Output::Persist { sequence, record });
                    }
                    RaftOutput::Rewrite(records) => {
                        sequence += 1;
                        out.push(Output::Rewrite { sequence, records });
                    }
                    RaftOutput::Apply(entry) => self.apply(entry, now, out),
                    RaftOutput::Restore(data) => self.restore(&data, now, out),
                    RaftOutput::IdentityLost => {
                        self.take_new_identity(now, out);
                        break;
                    }
                }
            }
            if self.raft.wants_snapshot() {
                let data = self.state.encode();
                self.raft.compact(data);
            }
        }
    }

    fn send_to_replica(&self, to: u64, message: RaftMessage, out: &mut Vec<Output>) {
        let member = self
            .raft
            .members()
            .iter()
            .find(|m| m.id == to)
            .map(|m| &m.instance);
        let instance = member.or_else(|| self.replica_instances.get(&to)).cloned();
        if let Some(instance) = instance {
            self.send_raft(instance, to, message, out);
        }
    }

    fn apply(&mut self, entry: LogEntry, now: Duration, out: &mut Vec<Output>) {
        let before = self.state.configuration().revision;
        let versions_before = self.fleet_versions();
        let evacuated_before = self.state.evacuated();
        let result = self.state.apply(&entry);
        self.on_evacuations_applied(&evacuated_before, &entry.command, now, out);
        if self.raft.is_leader() {
            if let Command::IssueOrder { side, version, .. } = &entry.command {
                let message = Message::Order {
                    fence: entry.index,
                    version: version.clone(),
                };
                out.push(Output::Send {
                    to: side.clone(),
                    message,
                });
            }
        }
        if let Command::OrderWeights { runner, weights } = &entry.command {
            self.send_weight_order(entry.index, *runner, weights, out);
        }
        if let Some((origin, same)) = self.proposals.take_logged(entry.term, entry.index) {
            let result = if same {
                result
            } else {
                proposing::unknown_outcome()
            };
            self.answer(origin, result, out);
        }
        self.announce_new_revision(before, now, out);
        let evacuations_changed = self.state.evacuated() != evacuated_before;
        if self.fleet_versions() != versions_before || evacuations_changed {
            self.push_fleet_state(now, out);
        }
        self.answer_starting_subscribers(out);
    }

    fn restore(&mut self, data: &[u8], now: Duration, out: &mut Vec<Output>) {
        let before = self.state.configuration().revision;
        let evacuated_before = self.state.evacuated();
        if let Some(state) = ReplicatedState::decode(data) {
            self.state = state;
        }
        self.report_evacuations(&evacuated_before, out);
        self.announce_new_revision(before, now, out);
    }

    fn announce_new_revision(&mut self, before: Revision, now: Duration, out: &mut Vec<Output>) {
        let revision = self.state.configuration().revision;
        if revision != before {
            out.push(Output::InForce { revision });
            self.raft.announce_commit(now);
            for peer in &self.settings.peers {
                let message = Message::InForce { revision };
                out.push(Output::Send {
                    to: peer.clone(),
                    message,
                });
            }
            self.update_subscribers(now, false, out);
        }
    }
}
