//! One process of the deployment with its core.

use std::time::Duration;

use dotterelrudder::config::ServiceKind;
use dotterelrudder::control::read_journal;
use dotterelrudder::control::ControlCore;
use dotterelrudder::control::ControlSettings;
use dotterelrudder::control::Output as ControlOutput;
use dotterelrudder::control::RaftTiming;
use dotterelrudder::route::EntryCore;
use dotterelrudder::route::EntrySettings;
use dotterelrudder::route::RoutingPolicy;
use dotterelrudder::side::SideCore;
use dotterelrudder::side::SideSettings;
use dotterelrudder::types::InstanceName;
use dotterelrudder::types::Revision;
use dotterelrudder::types::Role;

use super::backend::Backend;
use super::disk::Disk;
use super::world::Event;

pub const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];
const SNAPSHOT_ENTRIES: usize = 64;

pub enum Core {
    Control(Box<ControlCore>),
    Side(Box<SideCore>),
    Entry(Box<EntryCore>),
}

pub struct Node {
    pub name: InstanceName,
    pub role: Role,
    pub service: &'static str,
    pub kind: ServiceKind,
    pub core: Option<Core>,
    pub frozen: bool,
    pub deferred: Vec<Event>,
    pub incarnation: u64,
    pub disk: Disk,
    pub backend: Backend,
    pub leaving_since: Option<Duration>,
    pub exited: bool,
}

impl Node {
    pub fn new(name: &str, role: Role, service: &'static str, kind: ServiceKind) -> Self {
        let backend = Backend {
            slots: vec![None; 16],
            ..Backend::default()
        };
        Self {
            name: name.into(),
            role,
            service,
            kind,
            core: None,
            frozen: false,
            deferred: Vec::new(),
            incarnation: 0,
            disk: Disk::default(),
            backend,
            leaving_since: None,
            exited: false,
        }
    }

    pub fn is_up(&self) -> bool {
        self.core.is_some()
    }

    /// Starts the process from what its disk holds.
    pub fn start(&mut self, seed: u64, now: Duration) -> Vec<ControlOutput> {
        self.incarnation += 1;
        self.leaving_since = None;
        self.exited = false;
        let hash = blake3::hash(format!("{}{}{seed}", self.name, self.incarnation).as_bytes());
        let first = hash
            .as_bytes()
            .first_chunk::<8>()
            .expect("a hash has 32 bytes");
        let incarnation = u64::from_le_bytes(*first);
        let controls: Vec<InstanceName> = CONTROLS.iter().map(|c| (*c).into()).collect();
        let mut out = Vec::new();
        self.core = Some(match self.role {
            Role::Control => {
                let recovered = read_journal(&self.disk.durable);
                if !recovered.is_corrupt() {
                    self.disk.durable.truncate(recovered.valid_bytes as usize);
                }
                let settings = ControlSettings {
                    name: self.name.clone(),
                    peers: controls.into_iter().filter(|c| *c != self.name).collect(),
                    timing: RaftTiming {
                        snapshot_entries: SNAPSHOT_ENTRIES,
                        ..Default::default()
                    },
                    bootstrap: self.name.as_str() == CONTROLS[0],
                    voters: None,
                };
                let core = ControlCore::new(settings, recovered, incarnation, now, &mut out);
                Core::Control(Box::new(core))
            }
            Role::Side => Core::Side(Box::new(SideCore::new(SideSettings {
                name: self.name.clone(),
                service: self.service.into(),
                kind: self.kind,
                controls,
                incarnation,
                slots: 4,
            }))),
            Role::Entry => Core::Entry(Box::new(EntryCore::new(EntrySettings {
                name: self.name.clone(),
                controls,
                incarnation,
                policy: RoutingPolicy::default(),
            }))),
        });
        out
    }

    pub fn revision(&self) -> Revision {
        match &self.core {
            Some(Core::Control(core)) => core.state().configuration().revision,
            Some(Core::Side(core)) => core.revision(),
            Some(Core::Entry(core)) => core.revision(),
            None => Revision(0),
        }
    }

    pub fn is_ready(&self) -> bool {
        match &self.core {
            Some(Core::Control(_)) | None => false,
            Some(Core::Side(core)) => core.is_ready(),
            Some(Core::Entry(core)) => core.is_ready(),
        }
    }
}
