//! The control daemon of a deployment whose control instances are listed in the settings: starts
//! the replica and the operators' API, and hands over leadership and vote before it stops.

use dotterelrudder_control::ControlSettings;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::Role;
use slog::info;
use tokio::sync::watch;

use super::operator_api::OperatorApi;
use super::Replica;
use crate::http_server;
use crate::logging;
use crate::metrics::Metrics;
use crate::settings::ControlFile;
use crate::start::build_hello;
use crate::start::stop_signal;

/// Runs a control instance until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns a description of what failed at the start, such as a malformed setting or a listen
/// address in use.
pub async fn run(file: ControlFile) -> Result<(), String> {
    let log = logging::logger(Role::Control.as_str(), file.common.name.as_str());
    let token_hash = AccountKeyHash::parse(&file.operator_token_hash)
        .ok_or("operator_token_hash must be \"sha256:\" followed by 64 hexadecimal digits")?;
    let hello = build_hello(&file.common, Role::Control)?;
    let peers = file
        .common
        .controls
        .iter()
        .filter(|c| c.name != file.common.name);
    let settings = ControlSettings {
        name: file.common.name.clone(),
        peers: peers.clone().map(|c| c.name.clone()).collect(),
        timing: RaftTiming::default(),
        bootstrap: file.bootstrap,
        voters: None,
    };
    let metrics = Metrics::new()?;
    let (folder, replica_metrics) = (&file.data_folder, metrics.clone());
    let replica = Replica::start(
        settings,
        hello,
        file.listen,
        folder,
        replica_metrics,
        log.clone(),
    )
    .await?;
    // Of each pair of control instances only the one with the smaller name dials, so that the pair
    // has one connection.
    let dialed = peers
        .filter(|c| c.name > file.common.name)
        .map(|c| (c.name.clone(), c.address));
    replica.hub().set_targets(&dialed.collect::<Vec<_>>());
    let replication_status = replica.watch_replication_status();
    http_server::serve_admin(file.common.admin, metrics, move || {
        replication_status.borrow().fresh
    })
    .await?;
    let (stop, stopped) = watch::channel(false);
    let operators = OperatorApi {
        actor: replica.actor.clone(),
        token_hash,
    };
    let connections = http_server::serve(file.operators, stopped, move |req| {
        operators.clone().handle(req)
    })
    .await?;
    info!(log, "started"; "listen" => %file.listen);

    stop_signal().await?;
    info!(log, "stopping");
    let _watched = stop.send(true);
    connections.closed().await;
    replica.prepare_stop().await;
    info!(log, "stopped");
    Ok(())
}
