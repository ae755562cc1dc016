//! Start and graceful shutdown of an entry that calls backend servers itself.

use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::StopDeadline;
use dotterelrudder_gateway::LIMIT_REPORT_INTERVAL;
use dotterelrudder_gateway::PART_REPORT_INTERVAL;
use dotterelrudder_types::Clock;
use dotterelrudder_types::Role;
use slog::info;
use slog::warn;
use tokio::sync::watch;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::answer_buffers::AnswerBuffers;
use super::connection_pool::ConnectionPool;
use super::origin_queries::OriginQueries;
use super::server::EntryServer;
use super::GatewayFile;
use crate::fleet::start_follower;
use crate::fleet::FleetUpdate;
use crate::fleet::FollowerHandle;
use crate::fleet::FollowerStart;
use crate::http_server;
use crate::http_server::HeadLimits;
use crate::http_server::OWN_PORT_CONNECTIONS;
use crate::intake::IntakeGate;
use crate::intake::IntakePort;
use crate::intake::MachineLimits;
use crate::logging;
use crate::metrics::Metrics;
use crate::start::stop_signal;
use crate::system_clock::SystemClock;

/// The time until the load balancer sends no new callers: two failed readiness checks one second
/// apart, and the duration of a check.
const READINESS_PROPAGATION: Duration = Duration::from_millis(2_300);
/// The time left of the grace period of a planned stop when the process exits by itself.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// The interval at which used stored parts are reported to the leader. Parts are removed only after
/// many seconds without use.
const USED_PARTS_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest interval between two reports about request limits: a small part of the time for
/// which a permit is valid.
const MIN_LIMIT_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// The shortest interval between two reports about parts of prompts.
const MIN_PART_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which it is checked whether the process stood still; several times shorter than what
/// counts as standing still.
const PAUSE_WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which expired idle connections are closed and the state metrics are updated.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs an entry until the process receives a stop signal; open responses may then complete within
/// the grace period.
///
/// # Errors
///
/// Returns an error if a listener, the metrics, the follower of control or the signal handler cannot
/// be set up.
pub async fn run_entry<D>(file: GatewayFile, path: PathBuf, dialect: D) -> Result<(), String>
where
    D: Dialect,
{
    let log = logging::logger(Role::Entry.as_str(), file.name.as_str());
    let clock = SystemClock::default();
    let metrics = Metrics::new()?;
    let (shutdown, shutting_down) = watch::channel(None);
    let machine = MachineLimits::new(file.memory_mb, file.max_descriptors);
    let gate = IntakeGate::new(machine, metrics.clone(), log.clone());
    let server = Arc::new(EntryServer {
        dialect,
        gateway: Mutex::new(Gateway::new(file.gateway_settings(), rand::random())),
        wait_queue: Mutex::default(),
        shortage_queue: file.overload_control.then(Mutex::default),
        pool: ConnectionPool::new(file.answer_limits.head.get()),
        clock: clock.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
        shutting_down: shutting_down.clone(),
        answer_limits: file.answer_limits,
        answer_buffers: AnswerBuffers::default(),
        log_answered_every: file.log_answered_every,
        routine_requests: AtomicU64::new(0),
        placements: AtomicU64::new(0),
        limit_report_due: Notify::new(),
        part_report_due: Notify::new(),
        parts_blocked: Notify::new(),
        origin_report_due: Notify::new(),
        origin_queries: OriginQueries::default(),
    });
    let start = FollowerStart {
        name: file.name.clone(),
        role: Role::Entry,
        data_centre: file.data_centre.clone(),
        secret: file.secret.clone(),
        seeds: file.seeds.clone(),
        path,
        beside: None,
        clock: clock.clone(),
        log: log.clone(),
    };
    let update_server = server.clone();
    let follower = start_follower(start, move |update| {
        apply_fleet_update(&update_server, update)
    })
    .await?;

    let (ready_server, ready_path) = (server.clone(), file.ready_path.clone());
    let is_ready = Arc::new(move || {
        let now = ready_server.clock.now();
        ready_server.shutting_down.borrow().is_none() && ready_server.gateway().is_ready(now)
    });
    let (_never, no_stop) = watch::channel(false);
    let ready_now = is_ready.clone();
    let ready_port = IntakePort::new(gate.clone(), "ready", OWN_PORT_CONNECTIONS);
    http_server::serve_port(file.ready, no_stop, ready_port, move |req| {
        let known = req.uri().path() == ready_path.as_str();
        let ready = known && ready_now();
        async move {
            match ready {
                true => http_server::answer(200, "text/plain", "ready\n"),
                false => http_server::answer(503, "text/plain", "not ready\n"),
            }
        }
    })
    .await?;
    let admin_port = IntakePort::new(gate.clone(), "admin", OWN_PORT_CONNECTIONS);
    http_server::serve_admin_port(file.admin, admin_port, metrics, move || is_ready()).await?;
    let caller_port = IntakePort::new(gate.clone(), "callers", gate.limits().connections);
    let (close, closed) = watch::channel(false);
    let (limits_server, log_server, request_server) =
        (server.clone(), server.clone(), server.clone());
    let callers = http_server::serve_within(
        file.listen,
        closed,
        caller_port,
        move || {
            let gateway = limits_server.gateway();
            let limits = &gateway.configuration().limits;
            HeadLimits {
                time: limits.idle_time,
                bytes: limits.header_bytes,
            }
        },
        move |e| warn!(log_server.log, "caller connection not accepted"; "error" => e.to_string()),
        move |req| request_server.clone().serve(req),
    )
    .await?;
    tokio::spawn(report_limits(server.clone(), follower.clone()));
    tokio::spawn(report_parts(server.clone(), follower.clone()));
    tokio::spawn(watch_for_pauses(server.clone()));
    // It is set only here.
    let _set = server
        .origin_queries
        .follower
        .set(follower.clone())
        .is_err();
    tokio::spawn(report_origins(server.clone()));
    let parts_server = server.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(USED_PARTS_REPORT_INTERVAL).await;
            let used = parts_server.gateway().take_used_parts();
            if !used.is_empty() {
                follower.report_used(used);
            }
        }
    });
    let sweep_server = server.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            sweep_server.pool.sweep(sweep_server.clock.now());
            let wait_queue = sweep_server
                .wait_queue
                .lock()
                .unwrap_or_else(|e| e.into_inner());
            let waiting = wait_queue.len();
            drop(wait_queue);
            let shortage = sweep_server.shortage_queue.as_ref();
            let short = shortage.map(|q| q.lock().unwrap_or_else(|e| e.into_inner()).len());
            sweep_server
                .metrics
                .set_waiting(waiting + short.unwrap_or(0));
            sweep_server.update_state_metrics();
            gate.update_metrics();
        }
    });
    info!(log, "started"; "listen" => %file.listen);

    stop_signal().await?;
    info!(log, "stopping");
    let grace = Duration::from_secs_f64(file.stop_grace_s);
    let open_time = grace.saturating_sub(READINESS_PROPAGATION + STOP_MARGIN);
    let exit_at = clock.now() + READINESS_PROPAGATION + open_time;
    let _watched = shutdown.send(Some(StopDeadline::new(exit_at)));
    tokio::time::sleep(READINESS_PROPAGATION).await;
    let _watched = close.send(true);
    let left = exit_at.saturating_sub(clock.now());
    if timeout(left, callers.closed()).await.is_err() {
        warn!(log, "grace period ended before all responses were complete");
    }
    info!(log, "stopped");
    Ok(())
}

/// Reports request limits and the demand for limited runners to the leader: soon after a request
/// found no permit, and at regular intervals while there are limits.
async fn report_limits<D>(server: Arc<EntryServer<D>>, follower: FollowerHandle)
where
    D: Dialect,
{
    loop {
        // Reports are due at the latest after the interval, whether or not they were requested.
        let _requested = timeout(LIMIT_REPORT_INTERVAL, server.limit_report_due.notified()).await;
        let report = server.gateway().take_limit_report(server.clock.now());
        if let Some(report) = report {
            follower.report_limits(report);
            tokio::time::sleep(MIN_LIMIT_REPORT_INTERVAL).await;
        }
    }
}

/// Notices when this process stood still, while there are services whose runners warm up.
async fn watch_for_pauses<D>(server: Arc<EntryServer<D>>)
where
    D: Dialect,
{
    loop {
        tokio::time::sleep(PAUSE_WATCH_INTERVAL).await;
        let now = server.clock.now();
        if server.gateway().watch_for_pause(now) {
            warn!(
                server.log,
                "process stood still; runners that warm up count as cold until the \
                leading control instance answers"
            );
        }
    }
}

/// Reports runners that ended, and what speaks for or against parts of prompts, to the leader.
async fn report_parts<D>(server: Arc<EntryServer<D>>, follower: FollowerHandle)
where
    D: Dialect,
{
    loop {
        // Reports are due at the latest after the interval, whether or not they were requested.
        let _requested = timeout(PART_REPORT_INTERVAL, server.part_report_due.notified()).await;
        let report = server.gateway().take_part_report(server.clock.now());
        if let Some(report) = report {
            follower.report_parts(report);
            tokio::time::sleep(MIN_PART_REPORT_INTERVAL).await;
        }
    }
}

/// Reports the origins of streams to control instances as they begin, those of one interval together.
/// While a service has runners of several software versions, each of its streams is reported by itself.
async fn report_origins<D>(server: Arc<EntryServer<D>>)
where
    D: Dialect,
{
    loop {
        server.origin_report_due.notified().await;
        server.report_origins();
        let interval = server.gateway().origin_report_interval();
        tokio::time::sleep(interval).await;
    }
}

/// Applies an update from the leading control instance.
fn apply_fleet_update<D>(server: &EntryServer<D>, update: FleetUpdate)
where
    D: Dialect,
{
    let now = server.clock.now();
    let mut gateway = server.gateway();
    match update {
        FleetUpdate::State(fleet_state, queried_at) => {
            let was_ready = gateway.is_ready(now);
            if gateway.on_fleet_state(now, *fleet_state, queried_at) {
                let version = gateway.configuration().version;
                info!(server.log, "configuration in force"; "version" => version);
                server.metrics.set_revision(version);
            }
            if gateway.is_ready(now) != was_ready {
                info!(server.log, "readiness"; "ready" => !was_ready);
            }
        }
        FleetUpdate::Runners(records) => {
            let leaving = records.iter().filter(|r| r.leaving).count();
            info!(server.log, "backend servers listed"; "servers" => records.len(),
                "leaving" => leaving);
            gateway.on_runners(records);
            gateway.update_versions(now);
        }
        FleetUpdate::Directory(directory_update) => gateway.on_directory(*directory_update),
        FleetUpdate::Loads(loads) => {
            for change in gateway.on_load_reports(now, loads) {
                let text = if change.suspected {
                    "runner suspected, load reports stopped"
                } else {
                    "runner no longer suspected, load reports resumed"
                };
                info!(server.log, "{}", text; "runner" => change.identity.as_str(),
                    "address" => %change.address,
                    "load_age_ms" => change.load_age.as_millis() as u64);
            }
        }
        FleetUpdate::LimitGrants(grants) => gateway.on_limit_grants(&grants),
        FleetUpdate::RunnerLimits(limits) => {
            for limit in &limits {
                info!(server.log, "request limit of a runner announced";
                    "runner" => limit.runner.as_str(), "limit_per_s" => limit.rate);
            }
            gateway.on_limit_updates(now, limits);
        }
        FleetUpdate::RunnerWarmUps(warm_ups) => {
            for change in gateway.on_warm_ups(now, warm_ups) {
                let text = match change.rate {
                    Some(_) => "runner is cold",
                    None => "runner is warm",
                };
                info!(server.log, "{}", text; "runner" => change.runner.as_str(),
                    "limit_per_s" => change.rate, "left_ms" => change.left_ms);
            }
        }
        FleetUpdate::Evacuations(evacuated) => {
            let names = logging::join_names(&evacuated);
            if gateway.on_evacuations(evacuated) {
                info!(server.log, "evacuated data centres changed"; "evacuated" => names);
                let evacuated = gateway.evacuated_data_centres();
                server.metrics.set_evacuated_data_centres(evacuated);
            }
        }
        FleetUpdate::LeavingRunners(runners) => {
            for runner in runners {
                let (identity, born_ms) = (runner.identity.clone(), runner.born_ms);
                if gateway.add_leaving_runner(runner) {
                    info!(server.log, "leaving runner announced"; "runner" => identity.as_str(),
                        "born_ms" => born_ms);
                }
            }
        }
        FleetUpdate::ControlConnected(control) => {
            let kept = gateway.kept_stream_origins(now);
            if let Some(follower) = server.origin_queries.follower.get() {
                follower.repeat_leaving(control.clone(), gateway.leaving_runners());
                follower.repeat_origins(control, kept);
            }
        }
        FleetUpdate::StreamOrigin(reply) => server.origin_queries.on_reply(reply),
        FleetUpdate::PartVerdicts(verdicts) => {
            let (new, ended) = gateway.on_part_verdicts(now, &verdicts);
            if ended > 0 {
                info!(server.log, "blocks of prompt parts ended"; "blocks" => ended);
            }
            if gateway.is_part_report_due() {
                server.part_report_due.notify_one();
            }
            drop(gateway);
            server.announce_blocks(&new, "leader");
        }
        // Orders are only sent to sides.
        FleetUpdate::Order(_) => {}
    }
}
