//! [`SideCore`], the entry point of the side role: dispatches events to the side of a runner or of
//! a store and handles configuration, peers and draining.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder_config::ServiceKind;
use dotterelrudder_follow::ConfigFollower;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::Message;

use crate::runner_side::RunnerSide;
use crate::store_side::StoreSide;
use crate::Input;
use crate::Output;

/// Settings of a side, fixed for the life of its process.
#[derive(Debug, Clone)]
pub struct SideSettings {
    /// The instance's name.
    pub name: InstanceName,
    /// The service that its backend server belongs to.
    pub service: ServiceName,
    /// The kind of the backend server: a model engine, a plain service or a store.
    pub kind: ServiceKind,
    /// The names of the control instances.
    pub controls: Vec<InstanceName>,
    /// A random number that differs at each start.
    pub incarnation: u64,
    /// Number of concurrent runs, used until the backend server reports its own.
    pub slots: u32,
}

/// State of a connected process.
#[derive(Debug, Clone)]
pub(crate) struct PeerInfo {
    pub(crate) role: Role,
    /// The service of a side's backend server, known after its first load report.
    pub(crate) service: Option<ServiceName>,
}

/// State shared by the sides of runners and of stores.
#[derive(Debug)]
pub(crate) struct SideContext {
    pub(crate) settings: SideSettings,
    /// Holds the configuration in force.
    pub(crate) follower: ConfigFollower,
    pub(crate) peers: BTreeMap<InstanceName, PeerInfo>,
    /// Whether this side accepts no new work any more; never reset.
    pub(crate) draining: bool,
}

impl SideContext {
    /// Sends a message to all connected processes of a role.
    pub(crate) fn broadcast(&self, role: Role, message: &Message, out: &mut Vec<Output>) {
        for (name, _) in self.peers.iter().filter(|(_, p)| p.role == role) {
            out.push(Output::Send {
                to: name.clone(),
                message: message.clone(),
            });
        }
    }
}

#[derive(Debug)]
enum Backend {
    Runner(Box<RunnerSide>),
    Store(Box<StoreSide>),
}

/// The state machine of the side role; performs no I/O.
#[derive(Debug)]
pub struct SideCore {
    context: SideContext,
    backend: Backend,
    /// Whether the process shall exit once all work is done.
    stopping: bool,
    /// Whether [`Output::Exit`] was emitted, which happens once.
    exit_requested: bool,
}

impl SideCore {
    /// Creates the state of a side. A store's side starts to work when [`Input::Load`] reports its
    /// number of slots.
    pub fn new(settings: SideSettings) -> Self {
        let backend = match settings.kind {
            ServiceKind::Store => Backend::Store(Box::default()),
            _ => Backend::Runner(Box::new(RunnerSide::new(&settings))),
        };
        let follower = ConfigFollower::new(settings.controls.clone());
        let context = SideContext {
            settings,
            follower,
            peers: BTreeMap::new(),
            draining: false,
        };
        Self {
            context,
            backend,
            stopping: false,
            exit_requested: false,
        }
    }

    /// Returns the configuration revision in force on this side.
    pub fn revision(&self) -> Revision {
        self.context.follower.revision()
    }

    /// Returns the services whose sides this one connects to: the stores of its own service.
    pub fn services_to_dial(&self) -> Vec<ServiceName> {
        let service = self
            .context
            .follower
            .cfg()
            .services
            .get(&self.context.settings.service);
        service.map(|s| s.stores.clone()).unwrap_or_default()
    }

    /// Returns whether this side accepts new work: it has a confirmed configuration and is not
    /// draining.
    pub fn is_ready(&self) -> bool {
        self.context.follower.is_confirmed() && !self.context.draining
    }

    /// Returns the number of attempts that have not ended.
    pub fn active_attempts(&self) -> usize {
        match &self.backend {
            Backend::Runner(runner) => runner.active_attempts(),
            Backend::Store(_) => 0,
        }
    }

    /// Handles one event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Opened { peer, role } => self.on_opened(peer, role, out),
            Input::Closed { peer } => {
                self.context.peers.remove(&peer);
                self.context.follower.closed(&peer);
                if let Backend::Runner(runner) = &mut self.backend {
                    runner.on_closed(&peer, now, out);
                }
            }
            Input::Message {
                from,
                revision,
                message,
            } => {
                self.on_message(from, revision, message, now, out);
            }
            Input::ListedLeaving => self.start_drain(now, out),
            Input::Stop => {
                self.stopping = true;
                self.start_drain(now, out);
            }
            other => match &mut self.backend {
                Backend::Runner(runner) => runner.on_event(other, &self.context, now, out),
                Backend::Store(store) => store.on_event(other, &self.context, now, out),
            },
        }
        self.exit_when_done(out);
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut sends = Vec::new();
        self.context.follower.tick(now, &mut sends);
        send_all(sends, out);
        match &mut self.backend {
            Backend::Runner(runner) => runner.tick(&self.context, now, out),
            Backend::Store(store) => store.tick(&self.context, now, out),
        }
    }

    fn on_opened(&mut self, peer: InstanceName, role: Role, out: &mut Vec<Output>) {
        let mut sends = Vec::new();
        self.context.follower.opened(&peer, &mut sends);
        send_all(sends, out);
        self.context.peers.insert(
            peer.clone(),
            PeerInfo {
                role,
                service: None,
            },
        );
        if self.context.draining {
            out.push(Output::Send {
                to: peer.clone(),
                message: Message::Leaving,
            });
        }
        match &mut self.backend {
            Backend::Runner(runner) => runner.on_opened(&peer, role, &self.context, out),
            Backend::Store(store) => store.on_opened(&peer, &self.context, out),
        }
    }

    fn on_message(
        &mut self,
        from: InstanceName,
        revision: Revision,
        message: Message,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let mut sends = Vec::new();
        let follower = &mut self.context.follower;
        follower.on_peer_revision(&from, revision, now, &mut sends);
        let changed = follower.on_message(&from, &message, now, &mut sends);
        send_all(sends, out);
        if changed {
            out.push(Output::InForce {
                revision: self.revision(),
            });
        }
        if self
            .context
            .follower
            .is_draining(&self.context.settings.name)
        {
            self.start_drain(now, out);
        }
        if let (Message::Load(load), Some(peer)) = (&message, self.context.peers.get_mut(&from)) {
            peer.service = Some(load.service.clone());
        }
        match &mut self.backend {
            Backend::Runner(runner) => runner.on_message(from, message, &self.context, now, out),
            Backend::Store(store) => store.on_message(from, message, &self.context, now, out),
        }
    }

    /// Stops accepting work, announces it to all peers and refuses queued attempts.
    fn start_drain(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.context.draining {
            return;
        }
        self.context.draining = true;
        for peer in self.context.peers.keys() {
            out.push(Output::Send {
                to: peer.clone(),
                message: Message::Leaving,
            });
        }
        if let Backend::Runner(runner) = &mut self.backend {
            runner.refuse_queued(&self.context, now, out);
        }
    }

    /// Emits [`Output::Exit`] once when the process shall stop and no work is in progress.
    fn exit_when_done(&mut self, out: &mut Vec<Output>) {
        let done = match &self.backend {
            Backend::Runner(runner) => runner.is_idle(),
            Backend::Store(store) => store.is_idle(),
        };
        if self.stopping && done && !self.exit_requested {
            self.exit_requested = true;
            out.push(Output::Exit);
        }
    }
}

fn send_all(sends: Vec<(InstanceName, Message)>, out: &mut Vec<Output>) {
    out.extend(
        sends
            .into_iter()
            .map(|(to, message)| Output::Send { to, message }),
    );
}
