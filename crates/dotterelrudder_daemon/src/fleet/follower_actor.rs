//! The actor that follows the leading control instance.

use std::collections::BTreeSet;
use std::sync::Arc;

use dotterelrudder_follow::FleetFollower;
use dotterelrudder_follow::RunnerLoadTable;
use dotterelrudder_types::Clock;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::DirectoryUpdate;
use dotterelrudder_wire::FleetState;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::RunnerLoad;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use slog::info;
use slog::warn;
use slog::Logger;

use super::seeds::link_targets;
use super::FleetNews;
use crate::link::LinkEvent;
use crate::link::LinkHub;
use crate::system_clock::SystemClock;

/// What the actor is told.
#[derive(Debug)]
pub(super) enum FollowerMessage {
    /// Time passed.
    Tick,
    /// Something happened on a connection.
    Link(LinkEvent),
    /// The settings name other control instances.
    Seeds(Vec<InstanceName>),
    /// Loads to tell the leader.
    Report(Vec<RunnerLoad>),
    /// Stored parts that were used, to tell the leader.
    Used(Vec<PartKey>),
}

/// What the actor owns.
pub(super) struct FollowerState {
    pub(super) follower: FleetFollower,
    pub(super) seeds: Vec<InstanceName>,
    pub(super) told: Vec<InstanceName>,
    pub(super) hub: LinkHub,
    pub(super) clock: SystemClock,
    pub(super) held: u64,
    pub(super) directory: u64,
    pub(super) loads: RunnerLoadTable,
    pub(super) last: Option<InstanceName>,
    pub(super) news: Box<dyn Fn(FleetNews) + Send + Sync>,
    pub(super) log: Logger,
}

/// Runs a follower.
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
            FollowerMessage::Tick => state.ask(),
            FollowerMessage::Link(event) => state.on_link(event),
            FollowerMessage::Seeds(names) => {
                state.seeds = names;
                state.dial();
            }
            FollowerMessage::Report(loads) => state.tell_leader(Message::RunnerLoads(loads)),
            FollowerMessage::Used(parts) => state.tell_leader(Message::PartsUsed(parts)),
        }
        Ok(())
    }
}

impl FollowerState {
    fn ask(&mut self) {
        let now = self.clock.now();
        let was = self.follower.in_contact();
        if let Some((to, query)) = self.follower.tick(now, self.held, self.directory) {
            self.hub.send(&to, Message::FleetQuery(query));
        }
        if was && !self.follower.in_contact() {
            warn!(self.log, "leading control instance doesn't answer";
                "instance" => self.last.as_ref().map_or("", |l| l.as_str()));
        }
    }

    fn tell_leader(&self, message: Message) {
        if let Some(leader) = self.follower.current_control() {
            self.hub.send(leader, message);
        }
    }

    /// Keeps connections to the seeds and to those that the leader named.
    fn dial(&self) {
        let named = self.follower.controls().iter();
        let names: BTreeSet<&InstanceName> = named.chain(&self.seeds).chain(&self.told).collect();
        self.hub.set_targets(&link_targets(names));
    }

    fn on_link(&mut self, event: LinkEvent) {
        let now = self.clock.now();
        match event {
            LinkEvent::Opened { peer, .. } => {
                self.follower.opened(now, &peer);
                self.ask();
            }
            LinkEvent::Closed { peer } => self.follower.closed(now, &peer),
            LinkEvent::Message { peer, message, .. } => match message {
                Message::Fleet(state) => self.on_fleet_state(&peer, state),
                Message::NotLeader { leader } => {
                    self.follower.on_not_leader(now, &peer, leader.as_ref());
                    self.dial();
                    self.ask();
                }
                Message::Runners(records) => (self.news)(FleetNews::Runners(records)),
                Message::Directory(update) => self.on_directory(Arc::unwrap_or_clone(update)),
                Message::RunnerLoadUpdate(updates) => {
                    (self.news)(FleetNews::Loads(self.loads.complete(updates)));
                }
                Message::WeightOrder(order) => (self.news)(FleetNews::Order(order)),
                _ => {}
            },
        }
    }

    /// Passes an update on if it fits; else the whole directory comes with the next answer.
    fn on_directory(&mut self, update: DirectoryUpdate) {
        let fits = update.from == 0 || update.from == self.directory;
        self.directory = if fits { update.number } else { 0 };
        (self.news)(FleetNews::Directory(Box::new(update)));
    }

    fn on_fleet_state(&mut self, peer: &InstanceName, state: Box<FleetState>) {
        let was = self.follower.in_contact();
        let asked_at = self.follower.on_state(&state);
        if self.last.as_ref() != Some(peer) || !was && self.follower.in_contact() {
            info!(self.log, "following the leading control instance";
                "instance" => peer.as_str(), "version" => state.version);
            self.last = Some(peer.clone());
        }
        if state.controls != self.told {
            self.told = state.controls.clone();
            let known: BTreeSet<_> = self.seeds.iter().chain(&self.told).cloned().collect();
            self.follower.set_controls(known.into_iter().collect());
            self.dial();
        }
        if state.configuration.is_some() {
            self.held = self.held.max(state.version);
        }
        (self.news)(FleetNews::View(state, asked_at));
    }
}
