//! The control daemon of a fleet: starts the replica, its peer connections, the list poller, the
//! store reader and the operators' API.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dotterelrudder_control::ControlSettings;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Role;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use slog::info;
use slog::Logger;
use tokio::sync::watch;

use super::list_poller::ListPoller;
use super::seeds::link_targets;
use super::store_reader::read_stores;
use super::FleetControlFile;
use super::ListDialect;
use super::StoreDialect;
use crate::control::Replica;
use crate::http_server;
use crate::http_server::AnswerBody;
use crate::http_server::OWN_PORT_CONNECTIONS;
use crate::intake::IntakeGate;
use crate::intake::IntakePort;
use crate::intake::MachineLimits;
use crate::logging;
use crate::metrics::Metrics;
use crate::start::new_hello;
use crate::start::stop_signal;

/// Interval between a leader's heartbeats; about a fifth of `ELECTION_TIMEOUT`.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
/// Shortest time without a heartbeat after which a replica starts an election; covers two
/// retransmissions on a lossy link.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(420);
/// Shortest election timeout right after a start, when there may be no leader; a few heartbeat
/// intervals.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a contact counts as fresh; shorter than `ELECTION_TIMEOUT` by a margin for clock drift.
const LEASE_DURATION: Duration = Duration::from_millis(350);
/// Connections of operators at most; a deployment has few operators.
const MAX_OPERATOR_CONNECTIONS: usize = 256;
/// Interval at which the gauge of held bytes is updated.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of log entries after which a snapshot replaces them. The number is small because an entry
/// may hold a full configuration, which is large.
const SNAPSHOT_ENTRIES: usize = 64;

/// Serves the operators' API in the form that a platform defines.
pub trait OperatorPort: Send + Sync + 'static {
    /// Handles one HTTP request of an operator.
    fn answer(
        &self,
        replica: Replica,
        log: Logger,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// Keeps connections to all other control instances that the seeds or the replicated log name.
struct Peers {
    own: InstanceName,
    seeds: Mutex<Vec<InstanceName>>,
    replica: Replica,
}

impl Peers {
    fn dial(&self) {
        let seeds = self.seeds.lock().unwrap_or_else(|e| e.into_inner()).clone();
        let mut names: BTreeSet<InstanceName> = seeds.into_iter().collect();
        names.extend(self.replica.replication_status().controls);
        names.remove(&self.own);
        self.replica.hub().set_mutual_targets(&link_targets(&names));
        self.replica.set_peers(names.into_iter().collect());
    }
}

/// Runs a control instance until the process receives SIGTERM or SIGINT. `path` is the settings
/// file, which is read again for changed seeds.
///
/// # Errors
///
/// Returns a description of what failed at the start, such as a listen address in use.
pub async fn run_control<P, D>(
    file: FleetControlFile,
    path: PathBuf,
    port: P,
    dialect: D,
) -> Result<(), String>
where
    P: OperatorPort,
    D: ListDialect + StoreDialect,
{
    let log = logging::logger(Role::Control.as_str(), file.name.as_str());
    let own = file.link_name();
    let seeds = file.seeds.names();
    let hello = new_hello(
        own.clone(),
        Role::Control,
        file.data_centre.clone(),
        file.secret.clone(),
    );
    let settings = ControlSettings {
        name: own.clone(),
        peers: seeds.iter().filter(|s| **s != own).cloned().collect(),
        timing: RaftTiming {
            heartbeat: HEARTBEAT_INTERVAL,
            election: ELECTION_TIMEOUT,
            first_election: FIRST_ELECTION_TIMEOUT,
            lease: LEASE_DURATION,
            snapshot_entries: SNAPSHOT_ENTRIES,
        },
        bootstrap: file.may_bootstrap(),
        voters: Some(file.voters()),
    };
    let metrics = Metrics::new()?;
    let listen = SocketAddr::new(file.listen_ip.unwrap_or(file.ip), file.seeds.link_port);
    let (folder, replica_metrics) = (&file.data_folder, metrics.clone());
    let replica = Replica::start(
        settings,
        hello,
        listen,
        folder,
        replica_metrics,
        log.clone(),
    )
    .await?;
    let peers = Arc::new(Peers {
        own,
        seeds: Mutex::new(seeds),
        replica: replica.clone(),
    });
    peers.dial();
    let (dialing, mut changes) = (peers.clone(), replica.watch_replication_status());
    tokio::spawn(async move {
        while changes.changed().await.is_ok() {
            dialing.dial();
        }
    });
    let reloaded = peers.clone();
    let watching = file.seeds.clone().watch(path, log.clone(), move |names| {
        *reloaded.seeds.lock().unwrap_or_else(|e| e.into_inner()) = names;
        reloaded.dial();
    });
    tokio::spawn(watching);
    let dialect = Arc::new(dialect);
    tokio::spawn(read_stores(replica.clone(), dialect.clone(), log.clone()));
    let poller = ListPoller {
        replica: replica.clone(),
        dialect: dialect.clone(),
        address: file.instance_list,
        period: file.list_period(),
        metrics: metrics.clone(),
        log: log.clone(),
    };
    tokio::spawn(poller.run());
    let replication_status = replica.watch_replication_status();
    let machine = MachineLimits::new(file.memory_mb, file.max_descriptors);
    let gate = IntakeGate::new(machine, metrics.clone(), log.clone());
    let admin = IntakePort::new(gate.clone(), "admin", OWN_PORT_CONNECTIONS);
    let most = gate.limits().connections.min(MAX_OPERATOR_CONNECTIONS);
    let operators = IntakePort::new(gate.clone(), "operators", most);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(GAUGE_INTERVAL).await;
            gate.update_metrics();
        }
    });
    http_server::serve_admin_port(file.admin, admin, metrics, move || {
        replication_status.borrow().fresh
    })
    .await?;
    let (stop, stopped) = watch::channel(false);
    let (port, serving, serving_log) = (Arc::new(port), replica.clone(), log.clone());
    let connections = http_server::serve_port(file.operators, stopped, operators, move |req| {
        let (port, replica, log) = (port.clone(), serving.clone(), serving_log.clone());
        async move { port.answer(replica, log, req).await }
    })
    .await?;
    info!(log, "started"; "listen" => %listen, "operators" => %file.operators,
        "founds" => file.may_bootstrap(), "voters" => file.voters());

    stop_signal().await?;
    info!(log, "stopping");
    replica.prepare_stop().await;
    let _watched = stop.send(true);
    connections.closed().await;
    info!(log, "stopped");
    Ok(())
}
