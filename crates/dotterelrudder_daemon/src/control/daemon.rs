//! Starts a control instance and stops it after handing over leadership.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use dotterelrudder_control::ControlCore;
use dotterelrudder_control::ControlSettings;
use dotterelrudder_control::RaftTiming;
use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::Clock;
use dotterelrudder_types::Role;
use ractor::Actor;
use ractor::ActorRef;
use slog::crit;
use slog::info;
use slog::warn;
use slog::Logger;
use tokio::sync::watch;

use super::actor::ControlActor;
use super::actor::ControlMessage;
use super::actor::ControlState;
use super::actor::JournalWrite;
use super::operators::Operators;
use super::JournalFile;
use crate::http_server;
use crate::logging;
use crate::metrics::Metrics;
use crate::settings::ControlFile;
use crate::start::build_hello;
use crate::start::build_hub;
use crate::start::stop_signal;
use crate::start::tick;
use crate::system_clock::SystemClock;

/// How long a stopping leader waits for its successor.
const HANDOVER: Duration = Duration::from_millis(300);

/// Runs a control instance until it was asked to stop.
///
/// # Errors
///
/// Returns what the system refused at the start.
pub async fn run(file: ControlFile) -> Result<(), String> {
    let log = logging::logger(Role::Control.as_str(), file.common.name.as_str());
    let token_hash = AccountKeyHash::parse(&file.operator_token_hash)
        .ok_or("operator_token_hash isn't \"sha256:\" and 64 hexadecimal digits")?;
    let folder = file.data_folder.display();
    let opened = JournalFile::open(&file.data_folder).map_err(|e| format!("{folder}: {e}"));
    let (journal, recovered) = opened?;
    if let Some(damage) = &recovered.damage {
        warn!(log, "journal is damaged"; "file" => %folder, "damage" => format!("{damage:?}"));
    }
    let hello = build_hello(&file.common, Role::Control)?;
    let (hub, slot) = build_hub(hello, log.clone(), ControlMessage::Link);
    let clock = SystemClock::default();
    let mut first = Vec::new();
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
    };
    let core = ControlCore::new(settings, recovered, rand::random(), clock.now(), &mut first);
    let metrics = Metrics::new()?;
    let ready = Arc::new(AtomicBool::new(false));
    let (writes, queue) = std::sync::mpsc::channel();
    let state = ControlState {
        core,
        clock,
        hub: hub.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
        ready: ready.clone(),
        journal: writes,
        waiting: HashMap::new(),
        next_tag: 0,
        first,
    };
    let spawned = Actor::spawn(None, ControlActor, state).await;
    let (actor, _handle) = spawned.map_err(|e| e.to_string())?;
    slot.get_or_init(|| actor.clone());
    let (writer, journal_log) = (actor.clone(), log.clone());
    std::thread::spawn(move || write_journal(journal, &queue, &writer, &journal_log));
    hub.listen(file.listen).await?;
    // One of each pair of control instances dials, so that there is one connection.
    let dialed = peers
        .filter(|c| c.name > file.common.name)
        .map(|c| (c.name.clone(), c.address));
    hub.set_targets(&dialed.collect::<Vec<_>>());
    http_server::serve_admin(file.common.admin, metrics, move || {
        ready.load(Ordering::Relaxed)
    })
    .await?;
    let (stop, stopped) = watch::channel(false);
    let operators = Operators {
        actor: actor.clone(),
        token_hash,
    };
    let connections = http_server::serve(file.operators, stopped, move |req| {
        operators.clone().handle(req)
    })
    .await?;
    tokio::spawn(tick(actor.clone(), || ControlMessage::Tick));
    info!(log, "started"; "listen" => %file.listen);

    stop_signal().await?;
    info!(log, "stopping");
    let _watched = stop.send(true);
    connections.closed().await;
    let _stopped = actor.send_message(ControlMessage::Stop).is_err();
    tokio::time::sleep(HANDOVER).await;
    info!(log, "stopped");
    Ok(())
}

/// Writes what waits and syncs it once for all of it. Ends the process when the disk fails, since
/// nothing may be acknowledged after that.
fn write_journal(
    mut journal: JournalFile,
    queue: &Receiver<JournalWrite>,
    actor: &ActorRef<ControlMessage>,
    log: &Logger,
) {
    while let Ok(first) = queue.recv() {
        let began = Instant::now();
        let written = write_batch(&mut journal, first, queue);
        match written {
            Ok(sequence) => {
                let synced = ControlMessage::Synced {
                    sequence,
                    took: began.elapsed(),
                };
                let _stopped = actor.send_message(synced).is_err();
            }
            Err(e) => {
                crit!(log, "the journal can't be written"; "error" => e.to_string());
                std::process::exit(1);
            }
        }
    }
}

fn write_batch(
    journal: &mut JournalFile,
    first: JournalWrite,
    queue: &Receiver<JournalWrite>,
) -> std::io::Result<u64> {
    let mut last = 0;
    let mut next = Some(first);
    while let Some(write) = next {
        match write {
            JournalWrite::Append { sequence, bytes } => {
                journal.append(&bytes)?;
                last = sequence;
            }
            JournalWrite::Rewrite { sequence, records } => {
                journal.rewrite(&records)?;
                last = sequence;
            }
        }
        next = queue.try_recv().ok();
    }
    journal.sync()?;
    Ok(last)
}
