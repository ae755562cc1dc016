//! The actor that queries the leading control instance, passes its updates on, and sends it
//! reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use compact_str::CompactString;
use dotterelrudder_follow::FleetFollower;
use dotterelrudder_follow::RunnerLoadTable;
use dotterelrudder_types::Clock;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::LeavingRunner;
use dotterelrudder_wire::DirectoryUpdate;
use dotterelrudder_wire::FleetState;
use dotterelrudder_wire::LimitReport;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::StreamKey;
use dotterelrudder_wire::StreamOrigin;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use slog::info;
use slog::warn;
use slog::Logger;

use super::seeds::link_targets;
use super::FleetUpdate;
use super::OriginReply;
use crate::link::LinkEvent;
use crate::link::LinkHub;
use crate::system_clock::SystemClock;

/// The number of control instances that keep the origin of a stream.
pub(crate) const ORIGIN_COPIES: usize = 2;

/// Messages to [`FollowerActor`].
#[derive(Debug)]
pub(super) enum FollowerMessage {
    /// Time has passed; a query is sent if one is due.
    Tick,
    /// A connection opened, closed or received a message.
    Link(LinkEvent),
    /// The seeds in the settings file changed.
    Seeds(Vec<InstanceName>),
    /// Load reports to send to the leader.
    Report(Vec<RunnerLoad>),
    /// A report about request limits to send to the leader.
    LimitReport(LimitReport),
    /// A report about parts of prompts to send to the leader.
    PartReport(PartReport),
    /// Origins of streams to send to control instances.
    Origins(Vec<(StreamKey, StreamOrigin)>),
    /// Origins of streams to send to one control instance again.
    RepeatOrigins(InstanceName, Vec<(StreamKey, StreamOrigin)>),
    /// Backend servers that are leaving, to be reported to all control instances.
    Leaving(Vec<LeavingRunner>),
    /// Backend servers that are leaving, to be reported to one control instance again.
    RepeatLeaving(InstanceName, Vec<LeavingRunner>),
    /// A query for the origin of a stream to send to all control instances.
    OriginQuery {
        /// The number that replies repeat.
        number: u64,
        /// The stream.
        stream: StreamKey,
    },
    /// Stored parts that were used, to be reported to the leader.
    Used(Vec<PartKey>),
}

/// State of [`FollowerActor`].
pub(super) struct FollowerState {
    pub(super) follower: FleetFollower,
    pub(super) seeds: Vec<InstanceName>,
    pub(super) named_controls: Vec<InstanceName>,
    pub(super) hub: LinkHub,
    pub(super) clock: SystemClock,
    pub(super) held_version: u64,
    pub(super) directory_number: u64,
    pub(super) load_table: RunnerLoadTable,
    /// The software versions of runners by identity, for the next list of backend servers.
    pub(super) software: BTreeMap<CompactString, CompactString>,
    pub(super) last_leader: Option<InstanceName>,
    pub(super) on_update: Box<dyn Fn(FleetUpdate) + Send + Sync>,
    pub(super) log: Logger,
}

/// Drives a [`FleetFollower`] with link events, timer ticks and changes of the seeds.
pub(super) struct FollowerActor;

impl Actor for FollowerActor {
    type Msg = FollowerMessage;
    type State = FollowerState;
    type Arguments = FollowerState;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        state: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        state.dial();
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            FollowerMessage::Tick => state.send_due_query(),
            FollowerMessage::Link(event) => state.on_link_event(event),
            FollowerMessage::Seeds(names) => {
                state.seeds = names;
                state.dial();
            }
            FollowerMessage::Report(loads) => state.send_to_leader(Message::RunnerLoads(loads)),
            FollowerMessage::LimitReport(report) => {
                state.send_to_leader(Message::LimitReport(report));
            }
            FollowerMessage::PartReport(report) => {
                state.send_to_leader(Message::PartReport(report));
            }
            FollowerMessage::Origins(streams) => state.send_origins(streams),
            FollowerMessage::RepeatOrigins(control, streams) => {
                state.repeat_origins(&control, streams);
            }
            FollowerMessage::Leaving(runners) => {
                for control in state.connected_controls() {
                    state
                        .hub
                        .send(&control, Message::LeavingRunners(runners.clone()));
                }
            }
            FollowerMessage::RepeatLeaving(control, runners) => {
                if !runners.is_empty() {
                    state.hub.send(&control, Message::LeavingRunners(runners));
                }
            }
            FollowerMessage::OriginQuery { number, stream } => {
                for control in state.connected_controls() {
                    let query = Message::OriginQuery { number, stream };
                    state.hub.send(&control, query);
                }
            }
            FollowerMessage::Used(parts) => state.send_to_leader(Message::PartsUsed(parts)),
        }
        Ok(())
    }
}

impl FollowerState {
    fn send_due_query(&mut self) {
        let now = self.clock.now();
        let was_in_contact = self.follower.in_contact();
        if let Some((to, query)) = self
            .follower
            .tick(now, self.held_version, self.directory_number)
        {
            self.hub.send(&to, Message::FleetQuery(query));
        }
        if was_in_contact && !self.follower.in_contact() {
            warn!(self.log, "leading control instance doesn't answer";
                "instance" => self.last_leader.as_ref().map_or("", |l| l.as_str()));
        }
    }

    fn send_to_leader(&self, message: Message) {
        if let Some(leader) = self.follower.current_control() {
            self.hub.send(leader, message);
        }
    }

    fn connected_controls(&self) -> Vec<InstanceName> {
        let controls = self.follower.controls().iter();
        controls
            .filter(|c| self.hub.is_connected(c))
            .cloned()
            .collect()
    }

    /// Returns the control instances that keep the origin of a stream: [`ORIGIN_COPIES`] of the
    /// connected ones, chosen by its key so that all share the load.
    fn origin_keepers(&self, stream: StreamKey) -> impl Iterator<Item = &InstanceName> {
        let controls = self.follower.controls();
        let first = stream as usize % controls.len().max(1);
        let from_first = controls.iter().cycle().skip(first).take(controls.len());
        from_first
            .filter(|c| self.hub.is_connected(c))
            .take(ORIGIN_COPIES)
    }

    /// Sends the origin of each stream to its keepers.
    fn send_origins(&self, streams: Vec<(StreamKey, StreamOrigin)>) {
        let mut by_control: BTreeMap<&InstanceName, Vec<_>> = BTreeMap::new();
        for (stream, origin) in streams {
            for control in self.origin_keepers(stream) {
                let kept = by_control.entry(control).or_default();
                kept.push((stream, origin.clone()));
            }
        }
        for (control, kept) in by_control {
            self.hub.send(control, Message::StreamOrigins(kept));
        }
    }

    /// Sends a control instance the origins of the streams that it has to keep.
    fn repeat_origins(&self, control: &InstanceName, mut streams: Vec<(StreamKey, StreamOrigin)>) {
        streams.retain(|(stream, _)| self.origin_keepers(*stream).any(|c| c == control));
        if !streams.is_empty() {
            info!(self.log, "origins of streams sent again"; "instance" => control.as_str(),
                "streams" => streams.len());
            self.hub.send(control, Message::StreamOrigins(streams));
        }
    }

    /// Keeps connections to the seeds and to the control instances that the leader named.
    fn dial(&self) {
        let named = self.follower.controls().iter();
        let names: BTreeSet<&InstanceName> = named
            .chain(&self.seeds)
            .chain(&self.named_controls)
            .collect();
        self.hub.set_targets(&link_targets(names));
    }

    fn on_link_event(&mut self, event: LinkEvent) {
        let now = self.clock.now();
        match event {
            LinkEvent::Opened { peer, .. } => {
                self.follower.opened(now, &peer);
                self.send_due_query();
                (self.on_update)(FleetUpdate::ControlConnected(peer));
            }
            LinkEvent::Closed { peer } => self.follower.closed(now, &peer),
            LinkEvent::Message { peer, message, .. } => match message {
                Message::Fleet(state) => self.on_fleet_state(&peer, state),
                Message::NotLeader { leader } => {
                    self.follower.on_not_leader(now, &peer, leader.as_ref());
                    self.dial();
                    self.send_due_query();
                }
                Message::RunnerSoftware(software) => {
                    self.software = software.versions.into_iter().collect();
                }
                Message::Runners(mut records) => {
                    for record in &mut records {
                        record.software = self.software.get(&record.identity).cloned();
                    }
                    (self.on_update)(FleetUpdate::Runners(records));
                }
                Message::Directory(update) => self.on_directory(Arc::unwrap_or_clone(update)),
                Message::RunnerLoadUpdate(updates) => {
                    (self.on_update)(FleetUpdate::Loads(self.load_table.complete(updates)));
                }
                Message::LimitGrants(grants) => (self.on_update)(FleetUpdate::LimitGrants(grants)),
                Message::RunnerLimits(limits) => {
                    (self.on_update)(FleetUpdate::RunnerLimits(limits));
                }
                Message::RunnerWarmUps(warm_ups) => {
                    (self.on_update)(FleetUpdate::RunnerWarmUps(warm_ups));
                }
                Message::Evacuations(evacuated) => {
                    (self.on_update)(FleetUpdate::Evacuations(evacuated));
                }
                Message::PartVerdicts(verdicts) => {
                    (self.on_update)(FleetUpdate::PartVerdicts(verdicts));
                }
                Message::LeavingRunners(runners) => {
                    (self.on_update)(FleetUpdate::LeavingRunners(runners));
                }
                Message::OriginReply { number, origin } => {
                    let controls = self.follower.controls().len();
                    (self.on_update)(FleetUpdate::StreamOrigin(OriginReply {
                        number,
                        control: peer,
                        controls,
                        origin,
                    }));
                }
                Message::WeightOrder(order) => (self.on_update)(FleetUpdate::Order(order)),
                _ => {}
            },
        }
    }

    /// Passes an update on. If it does not follow the directory held here, the number is reset to
    /// 0, so that the leader sends the full directory with its next reply.
    fn on_directory(&mut self, update: DirectoryUpdate) {
        let fits = update.from == 0 || update.from == self.directory_number;
        self.directory_number = if fits { update.number } else { 0 };
        (self.on_update)(FleetUpdate::Directory(Box::new(update)));
    }

    fn on_fleet_state(&mut self, peer: &InstanceName, state: Box<FleetState>) {
        let was_in_contact = self.follower.in_contact();
        let queried_at = self.follower.on_state(&state);
        if self.last_leader.as_ref() != Some(peer) || !was_in_contact && self.follower.in_contact()
        {
            info!(self.log, "following the leading control instance";
                "instance" => peer.as_str(), "version" => state.version);
            self.last_leader = Some(peer.clone());
        }
        if state.controls != self.named_controls {
            self.named_controls = state.controls.clone();
            let known: BTreeSet<_> = self
                .seeds
                .iter()
                .chain(&self.named_controls)
                .cloned()
                .collect();
            self.follower.set_controls(known.into_iter().collect());
            self.dial();
        }
        if state.configuration.is_some() {
            self.held_version = self.held_version.max(state.version);
        }
        (self.on_update)(FleetUpdate::State(state, queried_at));
    }
}
