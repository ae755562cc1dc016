//! Starts the follower, by which an entry or a side tracks the leading control instance.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_follow::FleetFollower;
use dotterelrudder_follow::RunnerLoadTable;
use dotterelrudder_types::Clock;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::LeavingRunner;
use dotterelrudder_types::Role;
use dotterelrudder_wire::DirectoryUpdate;
use dotterelrudder_wire::FleetState;
use dotterelrudder_wire::LimitGrants;
use dotterelrudder_wire::LimitReport;
use dotterelrudder_wire::LimitUpdate;
use dotterelrudder_wire::PartKey;
use dotterelrudder_wire::PartReport;
use dotterelrudder_wire::PartVerdicts;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::RunnerWarmUps;
use dotterelrudder_wire::StreamKey;
use dotterelrudder_wire::StreamOrigin;
use dotterelrudder_wire::WeightOrder;
use ractor::Actor;
use ractor::ActorRef;
use slog::Logger;

use super::follower_actor::FollowerActor;
use super::follower_actor::FollowerMessage;
use super::follower_actor::FollowerState;
use super::OriginReply;
use super::Seeds;
use crate::start::build_hub;
use crate::start::new_hello;
use crate::start::tick;
use crate::system_clock::SystemClock;

/// Interval at which the follower checks whether a query is due; a fifth of the interval between
/// two queries.
const QUERY_TICK: Duration = Duration::from_millis(100);

/// An update from the leading control instance.
#[derive(Debug)]
pub enum FleetUpdate {
    /// The state in force, and the time of the last query of this process that the leader had
    /// received; `None` if that query is too old to be remembered. The state is no older than that
    /// query.
    State(Box<FleetState>, Option<Duration>),
    /// The complete list of backend servers from the platform.
    Runners(Vec<RunnerRecord>),
    /// Changes of the directory of stored parts.
    Directory(Box<DirectoryUpdate>),
    /// Load reports of runners.
    Loads(Vec<RunnerLoad>),
    /// Permits for requests to runners with request limits.
    LimitGrants(LimitGrants),
    /// Request limits of runners that changed.
    RunnerLimits(Vec<LimitUpdate>),
    /// Runners that became cold or warm, and the services whose runners warm up.
    RunnerWarmUps(RunnerWarmUps),
    /// All evacuated data centres, whose runners get no requests.
    Evacuations(Vec<DataCentre>),
    /// Verdicts on parts of prompts that may crash runners.
    PartVerdicts(Arc<PartVerdicts>),
    /// Backend servers that stated to other entries that they are leaving.
    LeavingRunners(Vec<LeavingRunner>),
    /// A connection to a control instance opened, which may have been restarted.
    ControlConnected(InstanceName),
    /// A control instance's reply to a query for the origin of a stream.
    StreamOrigin(OriginReply),
    /// An order to load weights for the runner beside this side.
    Order(WeightOrder),
}

/// Parameters of [`start_follower`].
pub struct FollowerStart {
    /// Name of this process.
    pub name: InstanceName,
    /// Role of this process: entry or side.
    pub role: Role,
    /// Data centre of this process.
    pub data_centre: DataCentre,
    /// Secret shared by all processes of the deployment; empty on a closed network.
    pub secret: compact_str::CompactString,
    /// Control instances known at the start.
    pub seeds: Seeds,
    /// Settings file, which is read again for changed seeds.
    pub path: PathBuf,
    /// Address of the runner beside a side; `None` for an entry.
    pub beside: Option<SocketAddr>,
    /// Clock by which the age of confirmations is measured.
    pub clock: SystemClock,
    /// Logger of this process.
    pub log: Logger,
}

/// Handle to a running follower; all clones refer to the same one.
#[derive(Clone)]
pub struct FollowerHandle {
    actor: ActorRef<FollowerMessage>,
}

impl FollowerHandle {
    /// Reports to the leader which stored parts were used.
    pub fn report_used(&self, parts: Vec<PartKey>) {
        // The actor ends only with the process.
        let _stopped = self
            .actor
            .send_message(FollowerMessage::Used(parts))
            .is_err();
    }

    /// Sends a report about request limits of runners to the leader.
    pub fn report_limits(&self, report: LimitReport) {
        // The actor ends only with the process.
        let _stopped = self
            .actor
            .send_message(FollowerMessage::LimitReport(report))
            .is_err();
    }

    /// Sends a report about parts of prompts to the leader.
    pub fn report_parts(&self, report: PartReport) {
        // The actor ends only with the process.
        let _stopped = self
            .actor
            .send_message(FollowerMessage::PartReport(report))
            .is_err();
    }

    /// Sends the origins of streams to control instances, each to several.
    pub fn report_origins(&self, streams: Vec<(StreamKey, StreamOrigin)>) {
        // The actor ends only with the process.
        let _stopped = self
            .actor
            .send_message(FollowerMessage::Origins(streams))
            .is_err();
    }

    /// Sends the origins of streams to one control instance, those that it has to keep.
    pub fn repeat_origins(&self, control: InstanceName, streams: Vec<(StreamKey, StreamOrigin)>) {
        // The actor ends only with the process.
        let _stopped = self
            .actor
            .send_message(FollowerMessage::RepeatOrigins(control, streams))
            .is_err();
    }

    /// Reports backend servers that are leaving to all connected control instances.
    pub fn report_leaving(&self, runners: Vec<LeavingRunner>) {
        // The actor ends only with the process.
        let _stopped = self
            .actor
            .send_message(FollowerMessage::Leaving(runners))
            .is_err();
    }

    /// Reports backend servers that are leaving to one control instance again.
    pub fn repeat_leaving(&self, control: InstanceName, runners: Vec<LeavingRunner>) {
        // The actor ends only with the process.
        let _stopped = self
            .actor
            .send_message(FollowerMessage::RepeatLeaving(control, runners))
            .is_err();
    }

    /// Asks all control instances for the origin of a stream.
    pub fn query_origin(&self, number: u64, stream: StreamKey) {
        // The actor ends only with the process.
        let _stopped = self
            .actor
            .send_message(FollowerMessage::OriginQuery { number, stream })
            .is_err();
    }

    /// Sends load reports to the leader.
    pub fn report(&self, loads: Vec<RunnerLoad>) {
        // The actor ends only with the process.
        let _stopped = self
            .actor
            .send_message(FollowerMessage::Report(loads))
            .is_err();
    }
}

/// Starts a follower that calls `on_update` for each update from the leader.
///
/// # Errors
///
/// Returns the error of the actor runtime if the follower's actor does not start.
pub async fn start_follower<N>(start: FollowerStart, on_update: N) -> Result<FollowerHandle, String>
where
    N: Fn(FleetUpdate) + Send + Sync + 'static,
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
        software: Default::default(),
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
