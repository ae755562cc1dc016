//! Starts an entry that calls backend servers itself and stops it without cutting answers off.

use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_types::Clock;
use dotterelrudder_types::Role;
use slog::info;
use slog::warn;
use tokio::sync::watch;
use tokio::time::timeout;

use super::gathering::Gathering;
use super::pool::Pool;
use super::serving::Serving;
use super::GatewayFile;
use crate::fleet::start_follower;
use crate::fleet::FleetUpdate;
use crate::fleet::FollowerStart;
use crate::http_server;
use crate::http_server::HeadLimits;
use crate::logging;
use crate::metrics::Metrics;
use crate::start::stop_signal;
use crate::system_clock::SystemClock;

/// How long the balancer takes to send no new callers: two missed questions a second apart, and
/// the time of one.
const BALANCER_NOTICES: Duration = Duration::from_millis(2_300);
/// Left of the grace at a planned stop when the process ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// How often the leader is told which stored parts were used; parts leave after many seconds
/// without use.
const TELL_USED_EVERY: Duration = Duration::from_secs(1);
/// How often idle connections to backend servers are looked through.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// Runs an entry until it was asked to stop.
///
/// # Errors
///
/// Returns what the system refused at the start.
pub async fn run_entry<D>(file: GatewayFile, path: PathBuf, dialect: D) -> Result<(), String>
where
    D: Dialect,
{
    let log = logging::logger(Role::Entry.as_str(), file.name.as_str());
    let clock = SystemClock::default();
    let metrics = Metrics::new()?;
    let (leave, leaving) = watch::channel(false);
    let serving = Arc::new(Serving {
        dialect,
        gateway: Mutex::new(Gateway::new(file.decisions(), rand::random())),
        room: Mutex::default(),
        pool: Pool::new(file.answer_limits.head.get()),
        clock: clock.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
        leaving: leaving.clone(),
        answer_limits: file.answer_limits,
        gathering: Gathering::default(),
        log_answered_every: file.log_answered_every,
        routine: AtomicU64::new(0),
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
    let told = serving.clone();
    let follower = start_follower(start, move |news| take_news(&told, news)).await?;

    let (ready_serving, ready_path) = (serving.clone(), file.ready_path.clone());
    let is_ready = Arc::new(move || {
        let now = ready_serving.clock.now();
        !*ready_serving.leaving.borrow() && ready_serving.gateway().is_ready(now)
    });
    let (_never, no_stop) = watch::channel(false);
    let asked = is_ready.clone();
    http_server::serve(file.ready, no_stop, move |req| {
        let known = req.uri().path() == ready_path.as_str();
        let ready = known && asked();
        async move {
            match ready {
                true => http_server::answer(200, "text/plain", "ready\n"),
                false => http_server::answer(503, "text/plain", "not ready\n"),
            }
        }
    })
    .await?;
    http_server::serve_admin(file.admin, metrics, move || is_ready()).await?;
    let (close, closed) = watch::channel(false);
    let (limiting, accepting, answering) = (serving.clone(), serving.clone(), serving.clone());
    let callers = http_server::serve_within(
        file.listen,
        closed,
        move || {
            let gateway = limiting.gateway();
            let limits = &gateway.configuration().limits;
            HeadLimits {
                time: limits.idle_time,
                bytes: limits.header_bytes,
            }
        },
        move |e| warn!(accepting.log, "caller not accepted"; "error" => e.to_string()),
        move |req| answering.clone().serve(req),
    )
    .await?;
    let using = serving.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(TELL_USED_EVERY).await;
            let used = using.gateway().take_used_parts();
            if !used.is_empty() {
                follower.report_used(used);
            }
        }
    });
    let sweeping = serving.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SWEEP_EVERY).await;
            sweeping.pool.sweep(sweeping.clock.now());
            let room = sweeping.room.lock().unwrap_or_else(|e| e.into_inner());
            let waiting = room.len();
            drop(room);
            sweeping.metrics.set_waiting(waiting);
            sweeping.measure_beliefs();
        }
    });
    info!(log, "started"; "listen" => %file.listen);

    stop_signal().await?;
    info!(log, "stopping");
    let _watched = leave.send(true);
    tokio::time::sleep(BALANCER_NOTICES).await;
    let _watched = close.send(true);
    let grace = Duration::from_secs_f64(file.stop_grace_s);
    let left = grace.saturating_sub(BALANCER_NOTICES + STOP_MARGIN);
    if timeout(left, callers.closed()).await.is_err() {
        warn!(log, "answers are cut off by the end of the grace");
    }
    info!(log, "stopped");
    Ok(())
}

/// Takes what the leading control instance told.
fn take_news<D>(serving: &Serving<D>, news: FleetUpdate)
where
    D: Dialect,
{
    let now = serving.clock.now();
    let mut gateway = serving.gateway();
    match news {
        FleetUpdate::View(view, asked_at) => {
            let was_ready = gateway.is_ready(now);
            if gateway.on_fleet_state(now, *view, asked_at) {
                let version = gateway.configuration().version;
                info!(serving.log, "configuration in force"; "version" => version);
                serving.metrics.set_revision(version);
            }
            if gateway.is_ready(now) != was_ready {
                info!(serving.log, "readiness"; "ready" => !was_ready);
            }
        }
        FleetUpdate::Runners(rows) => {
            let leaving = rows.iter().filter(|r| r.leaving).count();
            info!(serving.log, "backend servers listed"; "servers" => rows.len(),
                "leaving" => leaving);
            gateway.on_runners(rows);
        }
        FleetUpdate::Directory(update) => gateway.on_directory(*update),
        FleetUpdate::Loads(loads) => {
            for change in gateway.on_load_reports(now, loads) {
                let text = if change.suspected {
                    "runner suspected, its reports stopped"
                } else {
                    "runner reports again"
                };
                info!(serving.log, "{}", text; "runner" => change.identity.as_str(),
                    "address" => %change.address,
                    "load_age_ms" => change.load_age.as_millis() as u64);
            }
        }
        // Orders go to sides.
        FleetUpdate::Order(_) => {}
    }
}
