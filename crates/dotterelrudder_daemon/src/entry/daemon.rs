//! Starts the entry daemon, keeps its connections to the listed instances, and shuts it down
//! gracefully, without cutting off a request.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_route::EntryCore;
use dotterelrudder_route::EntrySettings;
use dotterelrudder_route::Input;
use dotterelrudder_route::RoutingPolicy;
use dotterelrudder_types::Role;
use ractor::Actor;
use ractor::ActorRef;
use slog::info;
use tokio::sync::watch;

use super::actor::EntryActor;
use super::actor::EntryMessage;
use super::actor::EntryState;
use super::request_handler::RequestHandler;
use crate::http_server;
use crate::instance_list;
use crate::instance_list::ListedInstance;
use crate::link::LinkHub;
use crate::logging;
use crate::metrics::Metrics;
use crate::settings::EntryFile;
use crate::start::build_hello;
use crate::start::build_hub;
use crate::start::stop_signal;
use crate::start::tick;
use crate::start::TICK;
use crate::system_clock::SystemClock;

/// How long the process stays alive after its last request ended, for the last responses to be
/// sent.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Runs an entry until it receives a stop signal and all its requests have ended.
///
/// # Errors
///
/// Returns a fault of the settings, or the error of the operating system if the entry cannot start,
/// such as an address in use.
pub async fn run(file: EntryFile) -> Result<(), String> {
    let policy = match file.policy.as_str() {
        "" => RoutingPolicy::default(),
        name => RoutingPolicy::from_name(name).ok_or_else(|| {
            let allowed: Vec<_> = RoutingPolicy::NAMES.iter().map(|(name, _)| *name).collect();
            format!(
                "policy can't be \"{name}\"; allowed: {}",
                allowed.join(", ")
            )
        })?,
    };
    let log = logging::logger(Role::Entry.as_str(), file.common.name.as_str());
    let hello = build_hello(&file.common, Role::Entry)?;
    let incarnation = hello.incarnation;
    let (hub, actor_cell) = build_hub(hello, log.clone(), EntryMessage::Link);
    let (exit_tx, mut exit_rx) = watch::channel(false);
    let ready = Arc::new(AtomicBool::new(false));
    let metrics = Metrics::new()?;
    let core = EntryCore::new(EntrySettings {
        name: file.common.name.clone(),
        controls: file
            .common
            .controls
            .iter()
            .map(|c| c.name.clone())
            .collect(),
        incarnation,
        policy,
    });
    let state = EntryState {
        core,
        clock: SystemClock::default(),
        hub: hub.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
        ready: ready.clone(),
        exit_tx,
        callers: HashMap::new(),
    };
    let spawned = Actor::spawn(None, EntryActor, state).await;
    let (actor, _handle) = spawned.map_err(|e| e.to_string())?;
    actor_cell.get_or_init(|| actor.clone());
    let stopping = Arc::new(AtomicBool::new(false));
    let (is_ready, is_stopping) = (ready, stopping.clone());
    http_server::serve_admin(file.common.admin, metrics, move || {
        is_ready.load(Ordering::Relaxed) && !is_stopping.load(Ordering::Relaxed)
    })
    .await?;
    let (stop_tx, stop_rx) = watch::channel(false);
    let request_handler = RequestHandler {
        actor: actor.clone(),
        next_id: Arc::new(AtomicU64::new(1)),
        stopping: stopping.clone(),
    };
    let connections = http_server::serve(file.listen, stop_rx, move |req| {
        request_handler.clone().handle(req)
    })
    .await?;
    tokio::spawn(follow_instance_list(
        file.clone(),
        hub,
        actor.clone(),
        log.clone(),
    ));
    tokio::spawn(tick(actor.clone(), TICK, || EntryMessage::Tick));
    info!(log, "started"; "listen" => %file.listen);

    stop_signal().await?;
    info!(log, "stopping");
    stopping.store(true, Ordering::Relaxed);
    // Keeps accepting requests until the platform's balancer has noticed that this entry is no
    // longer ready.
    tokio::time::sleep(Duration::from_millis(file.drain_grace_ms)).await;
    let _watched = stop_tx.send(true);
    connections.closed().await;
    let _stopped = actor
        .send_message(EntryMessage::Input(Input::Stop))
        .is_err();
    let _ended = exit_rx.wait_for(|exited| *exited).await;
    tokio::time::sleep(FLUSH_DELAY).await;
    info!(log, "stopped");
    Ok(())
}

/// Polls the platform's instance list. Keeps connections to all control instances and all listed
/// sides, and reports to the core the number of live entries and the leaving sides.
async fn follow_instance_list(
    file: EntryFile,
    hub: LinkHub,
    actor: ActorRef<EntryMessage>,
    log: slog::Logger,
) {
    let controls = file
        .common
        .controls
        .iter()
        .map(|c| (c.name.clone(), c.address));
    let controls: Vec<_> = controls.collect();
    hub.set_targets(&controls);
    let on_list = move |instances: Vec<ListedInstance>| {
        let sides = instances
            .iter()
            .filter(|instance| instance.role == Role::Side.as_str());
        let leaving = sides
            .clone()
            .filter(|instance| instance.is_leaving())
            .map(|instance| instance.name.clone());
        let entries = instances
            .iter()
            .filter(|instance| instance.role == Role::Entry.as_str());
        let entries = entries.filter(|instance| !instance.is_leaving()).count() as u32;
        let listed = Input::Listed {
            entries,
            leaving: leaving.collect(),
        };
        let mut targets = controls.clone();
        targets.extend(sides.map(|instance| (instance.name.clone(), instance.address)));
        hub.set_targets(&targets);
        let _stopped = actor.send_message(EntryMessage::Input(listed)).is_err();
    };
    instance_list::poll(file.instance_list, log, on_list).await;
}
