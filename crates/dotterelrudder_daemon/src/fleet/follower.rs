//! How an entry or a side stays in contact with the leading control instance.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use dotterelrudder_follow::FleetFollower;
use dotterelrudder_follow::RunnerLoadTable;
use dotterelrudder_types::Clock;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Role;
use dotterelrudder_wire::DirectoryUpdate;
use dotterelrudder_wire::FleetState;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::WeightOrder;
use ractor::Actor;
use ractor::ActorRef;
use slog::Logger;

use super::follower_actor::FollowerActor;
use super::follower_actor::FollowerMessage;
use super::follower_actor::FollowerState;
use super::Seeds;
use crate::start::build_hub;
use crate::start::new_hello;
use crate::start::tick;
use crate::system_clock::SystemClock;

/// How often the follower looks whether a question is due; a fifth of the time between two.
const QUERY_TICK: Duration = Duration::from_millis(100);

/// What the leading control instance told.
#[derive(Debug)]
pub enum FleetNews {
    /// What is in force, and when the question was asked that this answers.
    View(Box<FleetState>, Option<Duration>),
    /// The platform's list of backend servers.
    Runners(Vec<RunnerRecord>),
    /// Changes of the directory of stored parts.
    Directory(Box<DirectoryUpdate>),
    /// Loads of runners.
    Loads(Vec<RunnerLoad>),
    /// An order for the runner beside this process.
    Order(WeightOrder),
}

/// What a follower is started with.
pub struct FollowerStart {
    /// The process's name.
    pub name: InstanceName,
    /// Its role.
    pub role: Role,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The deployment's secret.
    pub secret: compact_str::CompactString,
    /// The control instances known at the start.
    pub seeds: Seeds,
    /// The settings file, which may name other seeds later.
    pub path: PathBuf,
    /// The runner beside a side.
    pub beside: Option<SocketAddr>,
    /// The clock that ages of confirmations count by.
    pub clock: SystemClock,
    /// The process's log.
    pub log: Logger,
}

/// A running follower; clones share it.
#[derive(Clone)]
pub struct FollowerHandle {
    actor: ActorRef<FollowerMessage>,
}

impl FollowerHandle {
    /// Tells the leader which stored parts were used.
    pub fn report_used(&self, parts: Vec<PartKey>) {
        // The actor ends only with the process.
        let _stopped = self
            .actor
            .send_message(FollowerMessage::Used(parts))
            .is_err();
    }

    /// Tells the leader about loads.
    pub fn report(&self, loads: Vec<RunnerLoad>) {
        // The actor ends only with the process.
        let _stopped = self
            .actor
            .send_message(FollowerMessage::Report(loads))
            .is_err();
    }
}

/// Starts to follow; `on_update` is called for everything that the leader tells.
///
/// # Errors
///
/// Returns what the actor's runtime says when it can't start it.
pub async fn start_follower<N>(start: FollowerStart, on_update: N) -> Result<FollowerHandle, String>
where
    N: Fn(FleetNews) + Send + Sync + 'static,
{
    let hello = new_hello(start.name, start.role, start.data_centre, start.secret);
    let (hub, slot) = build_hub(hello, start.log.clone(), FollowerMessage::Link);
    let names = start.seeds.names();
    let first_number = rand::random::<u32>();
    let now = start.clock.now();
    let follower = FleetFollower::new(
        names.clone(),
        start.beside,
        u64::from(first_number) << 32,
        now,
    );
    let state = FollowerState {
        follower,
        seeds: names,
        named_controls: Vec::new(),
        hub,
        clock: start.clock,
        held_version: 0,
        directory_number: 0,
        load_table: RunnerLoadTable::default(),
        last_leader: None,
        on_update: Box::new(on_update),
        log: start.log.clone(),
    };
    let spawned = Actor::spawn(None, FollowerActor, state).await;
    let (actor, _handle) = spawned.map_err(|e| e.to_string())?;
    slot.get_or_init(|| actor.clone());
    tokio::spawn(tick(actor.clone(), QUERY_TICK, || FollowerMessage::Tick));
    let reloaded = actor.clone();
    tokio::spawn(start.seeds.watch(start.path, start.log, move |names| {
        let _stopped = reloaded
            .send_message(FollowerMessage::Seeds(names))
            .is_err();
    }));
    Ok(FollowerHandle { actor })
}
