//! The control role: the log, its state, subscribers and orders behind one interface.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use dotterelrudder_types::AttemptId;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Member;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::RaftMessage;

use crate::demand::Demand;
use crate::order_planner::plan_orders;
use crate::proposals::Proposals;
use crate::subscribers::catch_up_message;
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

/// How often followers of the configuration are told that theirs is the newest.
const CONFIRM_EVERY: Duration = Duration::from_secs(1);
/// How often a replica without membership asks to join.
const JOIN_EVERY: Duration = Duration::from_millis(300);
/// How long a side may be away before its claims are told as unknown.
const LOST_SIDE_AFTER: Duration = Duration::from_secs(10);
/// How often orders are planned.
const PLAN_EVERY: Duration = Duration::from_millis(100);

/// What a control instance is told at its start.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The instance's name.
    pub name: InstanceName,
    /// The other control instances.
    pub peers: Vec<InstanceName>,
    /// Times of the log.
    pub timing: RaftTiming,
    /// Whether this first start makes a new deployment.
    pub bootstrap: bool,
}

/// The control role without input or output.
#[derive(Debug)]
pub struct ControlCore {
    settings: ControlSettings,
    raft: Raft,
    state: ReplicatedState,
    subscribers: Subscribers,
    proposals: Proposals,
    replica_instances: BTreeMap<u64, InstanceName>,
    wall_ms: u64,
    seed: u64,
    confirm_at: Duration,
    join_at: Duration,
    plan_at: Duration,
    orphaned_since: BTreeMap<AttemptId, Duration>,
    founding: Option<BTreeSet<InstanceName>>,
    starting: Vec<(InstanceName, u64)>,
    demand: Demand,
}

impl ControlCore {
    /// Starts the role from what its disk holds; `seed` feeds identities and election times.
    pub fn new(
        settings: ControlSettings,
        mut recovered: Recovered,
        seed: u64,
        now: Duration,
        out: &mut Vec<Output>,
    ) -> Self {
        let old = recovered.id;
        let first_start = old == 0 && !recovered.is_corrupt();
        if recovered.is_corrupt() {
            out.push(Output::Rewrite {
                sequence: 0,
                records: Vec::new(),
            });
        }
        if old == 0 || recovered.is_corrupt() {
            recovered = Recovered {
                id: new_identity(seed),
                ..Recovered::default()
            };
        }
        let mut raft = Raft::new(recovered, settings.timing, seed, now);
        raft.confirm_as_new();

        if !first_start && old != raft.id() {
            out.push(Output::NewIdentity {
                old,
                new: raft.id(),
            });
        }
        let founding = (first_start && settings.bootstrap).then(BTreeSet::new);
        let mut core = Self {
            settings,
            raft,
            state: ReplicatedState::default(),
            subscribers: Subscribers::default(),
            proposals: Proposals::default(),
            replica_instances: BTreeMap::new(),
            wall_ms: 0,
            seed,
            confirm_at: now,
            join_at: now,
            plan_at: now,
            orphaned_since: BTreeMap::new(),
            founding,
            starting: Vec::new(),
            demand: Demand::default(),
        };
        core.found_if_agreed(now);
        core.drain_raft(now, out);
        core
    }

    /// Takes one event and appends what it leads to.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Wall { at_ms } => self.wall_ms = self.wall_ms.max(at_ms),
            Input::Opened { peer } => self.on_opened(peer, out),
            Input::Closed { peer } => self.on_closed(&peer, now, out),
            Input::Message { from, message } => self.on_message(from, message, now, out),
            Input::Propose { tag, command } => {
                self.propose(Origin::Local(tag), command, now, out);
            }
            Input::Synced { sequence } => self.raft.synced(sequence, now),
            Input::Stop => {
                self.raft.transfer_leadership();
            }
            Input::Mark(_) => {}
        }
        self.drain_raft(now, out);
    }

    /// Returns the replicated state as far as it was applied here.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns the replica of the log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// Returns whether this replica may answer a question as current.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.raft.is_confirmed() && self.raft.is_fresh(now)
    }

    /// Counts live processes that have `revision` in force, and all live ones.
    pub fn count_in_force(&self, revision: Revision) -> (usize, usize) {
        self.subscribers.count_in_force(revision)
    }

    /// Describes the deployment as this replica sees it.
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
            members: members
                .map(|m| (m.instance.clone(), format!("{:016x}", m.id), m.voter))
                .collect(),
            claims: self.state.claim_count(),
            instances: instances.collect(),
        }
    }

    /// Returns the instance that leads, as far as this replica knows.
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
        for origin in self.proposals.overdue(now) {
            self.answer(origin, unknown_outcome(), out);
        }
        if now >= self.confirm_at {
            self.confirm_at = now + CONFIRM_EVERY;
            self.subscribers.forget_old(now);
            self.update_subscribers(now, true, out);
        }
        if now >= self.plan_at && self.raft.is_leader() && self.is_fresh(now) {
            self.plan_at = now + PLAN_EVERY;
            self.lose_claims_of_lost_sides(now, out);
            for (side, version) in plan_orders(&self.state, &self.subscribers, self.wall_ms) {
                let at_ms = self.wall_ms;
                let command = Command::IssueOrder {
                    side,
                    version,
                    at_ms,
                };
                self.propose(Origin::Internal, command, now, out);
            }
        }
    }

    /// Ends claims whose side went away for good, so that a resend learns that the outcome is
    /// unknown instead of being told to wait.
    fn lose_claims_of_lost_sides(&mut self, now: Duration, out: &mut Vec<Output>) {
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
            if now >= since + LOST_SIDE_AFTER {
                let command = Command::LoseClaim { key, attempt };
                self.propose(Origin::Internal, command, now, out);
            }
        }
    }

    fn join_if_needed(&mut self, now: Duration, out: &mut Vec<Output>) {
        let known = self.raft.members().iter().any(|m| m.id == self.raft.id());
        if known || now < self.join_at {
            return;
        }
        self.join_at = now + JOIN_EVERY;
        let instance = self.settings.name.clone();
        let member = Member {
            id: self.raft.id(),
            instance,
            voter: false,
        };
        for peer in self.settings.peers.clone() {
            let message = RaftMessage::Join {
                member: member.clone(),
            };
            self.send_raft(peer, 0, message, out);
        }
    }

    /// A deployment is founded only once every other control instance said that it belongs to
    /// none, so that a wiped disk can't found a second one beside the first.
    fn on_join_reply(&mut self, from: InstanceName, empty: bool, now: Duration) {
        if !empty {
            self.founding = None;
        }
        if let Some(agreed) = &mut self.founding {
            agreed.insert(from);
        }
        self.found_if_agreed(now);
    }

    fn found_if_agreed(&mut self, now: Duration) {
        let agreed = |name: &InstanceName| {
            self.founding
                .as_ref()
                .is_some_and(|agreed| agreed.contains(name))
        };
        let all = self.founding.is_some() && self.settings.peers.iter().all(agreed);
        if all && self.raft.members().is_empty() {
            self.founding = None;
            let (id, instance) = (self.raft.id(), self.settings.name.clone());
            self.raft.bootstrap(
                Member {
                    id,
                    instance,
                    voter: true,
                },
                now,
            );
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

    fn on_opened(&mut self, peer: InstanceName, out: &mut Vec<Output>) {
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
        self.subscribers.closed(peer, now);
        for origin in self.proposals.lost_leader(peer) {
            self.answer(origin, unknown_outcome(), out);
        }
    }

    fn on_message(
        &mut self,
        from: InstanceName,
        message: Message,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
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
                }
            }
            Message::Subscribe { held } => self.on_subscribe(from, held, now, out),
            Message::InForce { revision } => {
                self.subscribers.get_mut(&from).in_force = revision;
            }
            Message::Demand(rows) => {
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
            Message::Load(load) => self.subscribers.get_mut(&from).load = Some(load),
            Message::OrderDone { version, .. } => {
                if let Some(load) = &mut self.subscribers.get_mut(&from).load {
                    load.version = version;
                }
            }
            Message::Propose { tag, command } => {
                self.propose(Origin::Peer { name: from, tag }, *command, now, out);
            }
            Message::Result { tag, result } => {
                if let Some(origin) = self.proposals.answered(tag) {
                    self.answer(origin, *result, out);
                }
            }
            _ => {}
        }
    }

    fn on_subscribe(
        &mut self,
        from: InstanceName,
        held: Revision,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        if !self.is_fresh(now) {
            out.push(Output::Send {
                to: from,
                message: Message::NotFresh,
            });
            return;
        }
        if held == Revision::default() {
            // A process that just started may have held more before than this replica does yet.
            self.propose(Origin::Subscriber(from), Command::Noop, now, out);
            return;
        }
        self.follow(from, held, out);
    }

    fn follow(&mut self, from: InstanceName, held: Revision, out: &mut Vec<Output>) {
        let message = catch_up_message(&self.state, held);
        let subscriber = self.subscribers.get_mut(&from);
        subscriber.follows = true;
        subscriber.sent = self.state.configuration().revision;
        out.push(Output::Send { to: from, message });
    }

    /// Answers the processes that started before an entry which is applied here now.
    fn answer_starting(&mut self, out: &mut Vec<Output>) {
        let index = self.state.index();
        let starting = std::mem::take(&mut self.starting);
        let (due, later) = starting.into_iter().partition(|(_, at)| *at <= index);
        self.starting = later;
        let due: Vec<(InstanceName, u64)> = due;
        for (name, _) in due {
            self.follow(name, Revision::default(), out);
        }
    }

    fn update_subscribers(&mut self, now: Duration, confirm: bool, out: &mut Vec<Output>) {
        let fresh = self.is_fresh(now);
        let newest = self.state.configuration().revision;
        for (name, subscriber) in self
            .subscribers
            .by_name
            .iter_mut()
            .filter(|(_, s)| s.follows)
        {
            if !fresh {
                if confirm {
                    subscriber.follows = false;
                    out.push(Output::Send {
                        to: name.clone(),
                        message: Message::NotFresh,
                    });
                }
                continue;
            }
            if subscriber.sent < newest || confirm {
                let message = catch_up_message(&self.state, subscriber.sent);
                subscriber.sent = newest;
                out.push(Output::Send {
                    to: name.clone(),
                    message,
                });
            }
        }
    }

    fn propose(
        &mut self,
        origin: Origin,
        mut command: Command,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        self.stamp(&mut command);
        if self.raft.is_leader() {
            if let Some(place) = self.raft.propose(command, now) {
                self.proposals.log(place, origin, now);
            }
            return;
        }
        let from_control = matches!(&origin, Origin::Peer { name, .. }
            if self.settings.peers.contains(name));
        match self.leader_instance() {
            Some(leader) if !from_control && origin != Origin::Internal => {
                let tag = self.proposals.forward(&leader, origin, now);
                let command = Box::new(command);
                out.push(Output::Send {
                    to: leader,
                    message: Message::Propose { tag, command },
                });
            }
            _ => {
                let refusal = Refusal::new(ErrorKind::NotFresh, "no leader is known here");
                self.answer(origin, CommandResult::Refused(refusal), out);
            }
        }
    }

    /// Puts the wall-clock time of the replica that takes a command into it.
    fn stamp(&self, command: &mut Command) {
        match command {
            Command::Publish { at_ms, .. }
            | Command::Claim { at_ms, .. }
            | Command::FinishClaim { at_ms, .. }
            | Command::IssueOrder { at_ms, .. }
            | Command::Drain { at_ms, .. } => *at_ms = self.wall_ms,
            _ => {}
        }
    }

    fn answer(&mut self, origin: Origin, result: CommandResult, out: &mut Vec<Output>) {
        match origin {
            Origin::Subscriber(name) => match result {
                CommandResult::Passed(index) => {
                    self.starting.push((name, index));
                    self.answer_starting(out);
                }
                _ => out.push(Output::Send {
                    to: name,
                    message: Message::NotFresh,
                }),
            },
            Origin::Local(tag) => out.push(Output::Answer { tag, result }),
            Origin::Peer { name, tag } => {
                let message = Message::Result {
                    tag,
                    result: Box::new(result),
                };
                out.push(Output::Send { to: name, message });
            }
            Origin::Internal => {}
        }
    }

    /// Carries out what the log asks for, until it asks for nothing more.
    fn drain_raft(&mut self, now: Duration, out: &mut Vec<Output>) {
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
        let result = self.state.apply(&entry);
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
        if let Some((origin, same)) = self.proposals.applied(entry.term, entry.index) {
            let result = if same { result } else { unknown_outcome() };
            self.answer(origin, result, out);
        }
        self.note_revision(before, now, out);
        self.answer_starting(out);
    }

    fn restore(&mut self, data: &[u8], now: Duration, out: &mut Vec<Output>) {
        let before = self.state.configuration().revision;
        if let Some(state) = ReplicatedState::decode(data) {
            self.state = state;
        }
        self.note_revision(before, now, out);
    }

    fn note_revision(&mut self, before: Revision, now: Duration, out: &mut Vec<Output>) {
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

    /// Gives up an identity whose disk can't be trusted and joins as a learner under a new one.
    fn take_new_identity(&mut self, now: Duration, out: &mut Vec<Output>) {
        let old = self.raft.id();
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let new = new_identity(self.seed);
        let sequence = self.raft.persist_sequence();
        let recovered = Recovered {
            id: new,
            ..Recovered::default()
        };
        self.raft = Raft::new(recovered, self.settings.timing, self.seed, now);
        self.raft.continue_sequence(sequence);
        out.push(Output::Rewrite {
            sequence,
            records: Vec::new(),
        });
        self.raft.confirm_as_new();
        self.state = ReplicatedState::default();
        out.push(Output::NewIdentity { old, new });
    }
}

fn new_identity(seed: u64) -> u64 {
    let hash = blake3::hash(&seed.to_le_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first).max(1)
}

fn unknown_outcome() -> CommandResult {
    let detail = "the leader was lost before its answer; ask again with the same id";
    CommandResult::Refused(Refusal::new(ErrorKind::OutcomeUnknown, detail))
}
