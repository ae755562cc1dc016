//! The side role behind one interface.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder_config::ServiceKind;
use dotterelrudder_follow::ConfigFollower;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::Message;

use crate::runner::Runner;
use crate::store::Store;
use crate::Input;
use crate::Output;

/// What a side is told at its start.
#[derive(Debug, Clone)]
pub struct SideSettings {
    /// The instance's name.
    pub name: InstanceName,
    /// The service that its backend server belongs to.
    pub service: ServiceName,
    /// What the backend server is.
    pub kind: ServiceKind,
    /// The control instances.
    pub controls: Vec<InstanceName>,
    /// A random number that differs at each start.
    pub incarnation: u64,
    /// Runs at once until the backend server reports its own number.
    pub slots: u32,
}

/// What a side knows of a connected process.
#[derive(Debug, Clone)]
pub(crate) struct PeerInfo {
    pub(crate) role: Role,
    pub(crate) service: Option<ServiceName>,
}

/// What both kinds of side share.
#[derive(Debug)]
pub(crate) struct Common {
    pub(crate) settings: SideSettings,
    pub(crate) follower: ConfigFollower,
    pub(crate) peers: BTreeMap<InstanceName, PeerInfo>,
    pub(crate) leaving: bool,
}

impl Common {
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
    Runner(Box<Runner>),
    Store(Box<Store>),
}

/// The side role without input or output.
#[derive(Debug)]
pub struct SideCore {
    common: Common,
    backend: Backend,
    stopping: bool,
    exit_told: bool,
}

impl SideCore {
    /// Starts the role; a store's side is told with [`Input::Load`] how many slots there are.
    pub fn new(settings: SideSettings) -> Self {
        let backend = match settings.kind {
            ServiceKind::Store => Backend::Store(Box::default()),
            _ => Backend::Runner(Box::new(Runner::new(&settings))),
        };
        let follower = ConfigFollower::new(settings.controls.clone());
        let common = Common {
            settings,
            follower,
            peers: BTreeMap::new(),
            leaving: false,
        };
        Self {
            common,
            backend,
            stopping: false,
            exit_told: false,
        }
    }

    /// Returns the revision in force here.
    pub fn revision(&self) -> Revision {
        self.common.follower.revision()
    }

    /// Returns the services whose sides this one needs connections to.
    pub fn services_to_dial(&self) -> Vec<ServiceName> {
        let service = self
            .common
            .follower
            .cfg()
            .services
            .get(&self.common.settings.service);
        service.map(|s| s.stores.clone()).unwrap_or_default()
    }

    /// Returns whether new work is taken.
    pub fn is_ready(&self) -> bool {
        self.common.follower.is_confirmed() && !self.common.leaving
    }

    /// Returns the attempts that haven't ended.
    pub fn active_attempts(&self) -> usize {
        match &self.backend {
            Backend::Runner(runner) => runner.active_attempts(),
            Backend::Store(_) => 0,
        }
    }

    /// Takes one event and appends what it leads to.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Opened { peer, role } => self.on_opened(peer, role, out),
            Input::Closed { peer } => {
                self.common.peers.remove(&peer);
                self.common.follower.closed(&peer);
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
            Input::ListedLeaving => self.leave(now, out),
            Input::Stop => {
                self.stopping = true;
                self.leave(now, out);
            }
            other => match &mut self.backend {
                Backend::Runner(runner) => runner.on_event(other, &self.common, now, out),
                Backend::Store(store) => store.on_event(other, &self.common, now, out),
            },
        }
        self.exit_when_done(out);
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut sends = Vec::new();
        self.common.follower.tick(now, &mut sends);
        send_all(sends, out);
        match &mut self.backend {
            Backend::Runner(runner) => runner.tick(&self.common, now, out),
            Backend::Store(store) => store.tick(&self.common, now, out),
        }
    }

    fn on_opened(&mut self, peer: InstanceName, role: Role, out: &mut Vec<Output>) {
        let mut sends = Vec::new();
        self.common.follower.opened(&peer, &mut sends);
        send_all(sends, out);
        self.common.peers.insert(
            peer.clone(),
            PeerInfo {
                role,
                service: None,
            },
        );
        if self.common.leaving {
            out.push(Output::Send {
                to: peer.clone(),
                message: Message::Leaving,
            });
        }
        match &mut self.backend {
            Backend::Runner(runner) => runner.on_opened(&peer, role, &self.common, out),
            Backend::Store(store) => store.on_opened(&peer, &self.common, out),
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
        let follower = &mut self.common.follower;
        follower.on_peer_revision(&from, revision, now, &mut sends);
        let changed = follower.on_message(&from, &message, now, &mut sends);
        send_all(sends, out);
        if changed {
            out.push(Output::InForce {
                revision: self.revision(),
            });
        }
        if self.common.follower.is_draining(&self.common.settings.name) {
            self.leave(now, out);
        }
        if let (Message::Load(load), Some(peer)) = (&message, self.common.peers.get_mut(&from)) {
            peer.service = Some(load.service.clone());
        }
        match &mut self.backend {
            Backend::Runner(runner) => runner.on_message(from, message, &self.common, now, out),
            Backend::Store(store) => store.on_message(from, message, &self.common, now, out),
        }
    }

    /// Takes no new work from now on and tells everyone.
    fn leave(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.common.leaving {
            return;
        }
        self.common.leaving = true;
        for peer in self.common.peers.keys() {
            out.push(Output::Send {
                to: peer.clone(),
                message: Message::Leaving,
            });
        }
        if let Backend::Runner(runner) = &mut self.backend {
            runner.refuse_waiting(&self.common, now, out);
        }
    }

    fn exit_when_done(&mut self, out: &mut Vec<Output>) {
        let done = match &self.backend {
            Backend::Runner(runner) => runner.is_idle(),
            Backend::Store(store) => store.is_idle(),
        };
        if self.stopping && done && !self.exit_told {
            self.exit_told = true;
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
