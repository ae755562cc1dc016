//! Starts the side daemon, keeps its connections to the listed instances, and shuts it down
//! gracefully.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dotterelrudder_config::ServiceKind;
use dotterelrudder_side::Input;
use dotterelrudder_side::SideCore;
use dotterelrudder_side::SideSettings;
use dotterelrudder_types::Role;
use dotterelrudder_types::ServiceName;
use ractor::Actor;
use ractor::ActorRef;
use slog::info;
use tokio::sync::watch;

use super::actor::EventSender;
use super::actor::SideActor;
use super::actor::SideMessage;
use super::actor::SideState;
use super::engine_client::EngineClient;
use super::store_client;
use crate::http_client::HttpClient;
use crate::http_server;
use crate::instance_list;
use crate::instance_list::ListedInstance;
use crate::link::LinkHub;
use crate::logging;
use crate::metrics::Metrics;
use crate::response_limits::ResponseLimits;
use crate::settings::SideFile;
use crate::start::build_hello;
use crate::start::build_hub;
use crate::start::stop_signal;
use crate::start::tick;
use crate::start::TICK;
use crate::system_clock::SystemClock;

/// The largest response of a backend server or store, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// The largest size of all responses that are read at the same time, in bytes.
const MAX_TOTAL_BYTES: usize = 64 * 1024 * 1024;
/// How long the process stays alive after its last attempt ended, for the last messages to be sent.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// Runs a side until it receives a stop signal and all its attempts have ended.
///
/// # Errors
///
/// Returns the error of the operating system if the side cannot start, such as an address in use.
pub async fn run(file: SideFile) -> Result<(), String> {
    let log = logging::logger(Role::Side.as_str(), file.common.name.as_str());
    let hello = build_hello(&file.common, Role::Side)?;
    let incarnation = hello.incarnation;
    let (hub, actor_cell) = build_hub(hello, log.clone(), SideMessage::Link);
    let (exit_tx, mut exit_rx) = watch::channel(false);
    let ready = Arc::new(AtomicBool::new(false));
    let metrics = Metrics::new()?;
    let limits = ResponseLimits::new(MAX_RESPONSE_BYTES, MAX_TOTAL_BYTES);
    let client = HttpClient::with_limits(limits);
    let services_to_dial: Arc<Mutex<Vec<ServiceName>>> = Arc::default();
    let core = SideCore::new(SideSettings {
        name: file.common.name.clone(),
        service: file.service.clone(),
        kind: file.kind,
        controls: file
            .common
            .controls
            .iter()
            .map(|c| c.name.clone())
            .collect(),
        incarnation,
        slots: file.slots,
    });
    let state = SideState {
        core,
        clock: SystemClock::default(),
        hub: hub.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
        client: client.clone(),
        backend_url: file.backend.to_string(),
        ready: ready.clone(),
        services_to_dial: services_to_dial.clone(),
        exit_tx,
        run_tasks: HashMap::new(),
    };
    let spawned = Actor::spawn(None, SideActor, state).await;
    let (actor, _handle) = spawned.map_err(|e| e.to_string())?;
    actor_cell.get_or_init(|| actor.clone());
    http_server::serve_admin(file.common.admin, metrics, move || {
        ready.load(Ordering::Relaxed)
    })
    .await?;
    hub.listen(file.listen).await?;
    let events = EventSender {
        actor: actor.clone(),
    };
    let base = file.backend.to_string();
    match file.kind {
        ServiceKind::Model => {
            let engine = EngineClient {
                client,
                base,
                events,
            };
            tokio::spawn(engine.poll());
        }
        ServiceKind::Store => {
            tokio::spawn(store_client::poll_info(client, base, events));
        }
        ServiceKind::Plain => {}
    }
    tokio::spawn(follow_instance_list(
        file.clone(),
        hub,
        actor.clone(),
        services_to_dial,
        log.clone(),
    ));
    tokio::spawn(tick(actor.clone(), TICK, || SideMessage::Tick));
    info!(log, "started"; "listen" => %file.listen);

    stop_signal().await?;
    info!(log, "stopping");
    let _stopped = actor.send_message(SideMessage::Input(Input::Stop)).is_err();
    let _ended = exit_rx.wait_for(|exited| *exited).await;
    tokio::time::sleep(FLUSH_DELAY).await;
    info!(log, "stopped");
    Ok(())
}

/// Polls the platform's instance list. Keeps connections to all control instances and to the listed
/// stores, and reports to the core when the list shows this side as leaving.
async fn follow_instance_list(
    file: SideFile,
    hub: LinkHub,
    actor: ActorRef<SideMessage>,
    services_to_dial: Arc<Mutex<Vec<ServiceName>>>,
    log: slog::Logger,
) {
    let controls = file
        .common
        .controls
        .iter()
        .map(|c| (c.name.clone(), c.address));
    let controls: Vec<_> = controls.collect();
    hub.set_targets(&controls);
    let own_name = file.common.name.clone();
    let on_list = move |instances: Vec<ListedInstance>| {
        let services = services_to_dial
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone();
        let stores = instances
            .iter()
            .filter(|instance| services.contains(&instance.service));
        let mut targets = controls.clone();
        targets.extend(stores.map(|instance| (instance.name.clone(), instance.address)));
        hub.set_targets(&targets);
        if instances
            .iter()
            .any(|instance| instance.name == own_name && instance.is_leaving())
        {
            let leaving = SideMessage::Input(Input::ListedLeaving);
            let _stopped = actor.send_message(leaving).is_err();
        }
    };
    instance_list::poll(file.instance_list, log, on_list).await;
}
