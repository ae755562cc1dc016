//! The side daemon of a fleet: reports the load of the runner beside it to the leading control
//! instance and passes on that instance's orders to load weights.

use std::path::PathBuf;
use std::sync::Arc;

use dotterelrudder_types::Role;
use slog::info;

use super::runner_watcher::RunnerWatcher;
use super::start_follower;
use super::FleetSideFile;
use super::FleetUpdate;
use super::FollowerStart;
use super::RunnerDialect;
use crate::http_server;
use crate::http_server::OWN_PORT_CONNECTIONS;
use crate::intake::IntakeGate;
use crate::intake::IntakePort;
use crate::intake::MachineLimits;
use crate::logging;
use crate::metrics::Metrics;
use crate::start::stop_signal;
use crate::system_clock::SystemClock;

/// Runs a side until the process receives SIGTERM or SIGINT. `path` is the settings file, which is
/// read again for changed seeds.
///
/// # Errors
///
/// Returns a description of what failed at the start, such as a listen address in use.
pub async fn run_side<D>(file: FleetSideFile, path: PathBuf, dialect: D) -> Result<(), String>
where
    D: RunnerDialect,
{
    let log = logging::logger(Role::Side.as_str(), file.name.as_str());
    let metrics = Metrics::new()?;
    let machine = MachineLimits::new(file.memory_mb, file.max_descriptors);
    let gate = IntakeGate::new(machine, metrics.clone(), log.clone());
    let port = IntakePort::new(gate, "admin", OWN_PORT_CONNECTIONS);
    http_server::serve_admin_port(file.admin, port, metrics, || true).await?;
    let (tx, orders) = tokio::sync::mpsc::unbounded_channel();
    let start = FollowerStart {
        name: file.name.clone(),
        role: Role::Side,
        data_centre: file.data_centre,
        secret: file.secret,
        seeds: file.seeds,
        path,
        beside: Some(file.runner),
        clock: SystemClock::default(),
        log: log.clone(),
    };
    let follower = start_follower(start, move |update| {
        if let FleetUpdate::Order(order) = update {
            // The receiver lives as long as the process.
            let _stopped = tx.send(order).is_err();
        }
    })
    .await?;
    let runner_watcher = RunnerWatcher {
        dialect: Arc::new(dialect),
        runner: file.runner,
        holder: file.name.0,
        follower,
        orders,
        log: log.clone(),
    };
    tokio::spawn(runner_watcher.run());
    info!(log, "started"; "runner" => %file.runner);
    stop_signal().await?;
    info!(log, "stopped");
    Ok(())
}
