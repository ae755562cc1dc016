//! A running replica of the replicated log, with its actor, its journal thread and its connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use dotterelrudder_control::ChangeBlocker;
use dotterelrudder_control::ControlCore;
use dotterelrudder_control::ControlSettings;
use dotterelrudder_control::ControlStatus;
use dotterelrudder_control::FreePartsOrder;
use dotterelrudder_control::Input;
use dotterelrudder_control::Recovered;
use dotterelrudder_control::StoreReport;
use dotterelrudder_types::Clock;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Refusal;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::Hello;
use dotterelrudder_wire::RunnerRecord;
use ractor::Actor;
use ractor::ActorRef;
use slog::crit;
use slog::info;
use slog::warn;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::timeout;

use super::actor::ControlActor;
use super::actor::ControlMessage;
use super::actor::ControlState;
use super::HeldChange;
use super::JournalFile;
use super::JournalWrite;
use super::JournalWriter;
use super::ReplicationStatus;
use crate::link::LinkHub;
use crate::metrics::Metrics;
use crate::start::build_hub;
use crate::start::tick;
use crate::start::TICK;
use crate::system_clock::SystemClock;

/// The shortest time between the announcement of a planned stop and its end, in which peers hear of it.
const MIN_STOP_WAIT: Duration = Duration::from_millis(300);
/// How long a stopping replica waits until its leadership and its vote are handed over. Well below the
/// grace period of a planned stop, since no quorum may be there to decide the change.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Handle to a running replica; all clones refer to the same one.
#[derive(Clone)]
pub struct Replica {
    pub(super) actor: ActorRef<ControlMessage>,
    hub: LinkHub,
    log: Logger,
    replication_status: watch::Receiver<ReplicationStatus>,
    free_order_receiver: Arc<Mutex<Option<mpsc::UnboundedReceiver<FreePartsOrder>>>>,
}

impl Replica {
    /// Reads the journal in `folder` and starts the replica, which accepts connections from other
    /// processes at `listen`.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if the journal cannot be opened or `listen` cannot be
    /// bound.
    pub async fn start(
        settings: ControlSettings,
        hello: Hello,
        listen: SocketAddr,
        folder: &Path,
        metrics: Metrics,
        log: Logger,
    ) -> Result<Self, String> {
        let folder_path = folder.display();
        let opened = open_journal(folder, &log).await;
        let (journal, recovered) = opened.map_err(|e| format!("{folder_path}: {e}"))?;
        if let Some(damage) = &recovered.damage {
            warn!(log, "journal is damaged";
                "file" => %folder_path, "damage" => format!("{damage:?}"));
        }
        let data_centre = hello.data_centre.clone();
        let (hub, slot) = build_hub(hello, log.clone(), ControlMessage::Link);
        let clock = SystemClock::default();
        let mut initial_outputs = Vec::new();
        let seed = rand::random();
        let now = clock.now();
        let mut core = ControlCore::new(settings, recovered, seed, now, &mut initial_outputs);
        let seen = Input::ControlSeen { data_centre };
        core.handle(now, seen, &mut initial_outputs);
        let (replication_status, status_receiver) = watch::channel(ReplicationStatus::default());
        let (free_orders, free_order_receiver) = mpsc::unbounded_channel();
        let (writes, queue) = std::sync::mpsc::channel();
        let state = ControlState {
            core,
            clock,
            hub: hub.clone(),
            metrics,
            log: log.clone(),
            replication_status,
            free_orders,
            journal: writes,
            pending_proposals: HashMap::new(),
            next_tag: 0,
            initial_outputs,
            held_change: HeldChange::default(),
        };
        let spawned = Actor::spawn(None, ControlActor, state).await;
        let (actor, _handle) = spawned.map_err(|e| e.to_string())?;
        slot.get_or_init(|| actor.clone());
        let writer = actor.clone();
        let journal_log = log.clone();
        std::thread::spawn(move || write_journal(journal, &queue, &writer, &journal_log));
        hub.listen(listen).await?;
        tokio::spawn(tick(actor.clone(), TICK, || ControlMessage::Tick));
        Ok(Self {
            actor,
            hub,
            log,
            replication_status: status_receiver,
            free_order_receiver: Arc::new(Mutex::new(Some(free_order_receiver))),
        })
    }

    /// Returns the connections to other processes.
    pub fn hub(&self) -> &LinkHub {
        &self.hub
    }

    /// Returns the current replication status.
    pub fn replication_status(&self) -> ReplicationStatus {
        self.replication_status.borrow().clone()
    }

    /// Returns a receiver of the replication status that is notified of its changes.
    pub fn watch_replication_status(&self) -> watch::Receiver<ReplicationStatus> {
        self.replication_status.clone()
    }

    /// Appends a command to the replicated log, through the leader if that is another replica, and
    /// waits for its result.
    pub async fn propose(&self, command: Command) -> CommandResult {
        let (reply, result) = oneshot::channel();
        let sent = self
            .actor
            .send_message(ControlMessage::Propose(Box::new(command), reply));
        if sent.is_err() {
            let refusal = Refusal::new(ErrorKind::NotFresh, "the process is stopping");
            return CommandResult::Refused(refusal);
        }
        result.await.unwrap_or_else(|_| {
            let refusal = Refusal::new(ErrorKind::OutcomeUnknown, "the process is stopping");
            CommandResult::Refused(refusal)
        })
    }

    /// Returns the status of the replica; `None` while the process is stopping.
    pub async fn status(&self) -> Option<ControlStatus> {
        let (reply, status) = oneshot::channel();
        let sent = self.actor.send_message(ControlMessage::Status(reply));
        sent.ok()?;
        status.await.ok()
    }

    /// Sets the other control instances that are known.
    pub fn set_peers(&self, peers: Vec<InstanceName>) {
        self.send_to_actor(ControlMessage::Peers(peers));
    }

    /// Passes the platform's list of backend servers to the core.
    pub fn report_runners(&self, records: Vec<RunnerRecord>) {
        self.send_to_actor(ControlMessage::Listed(records));
    }

    /// Passes the result of reading a store to the core.
    pub fn report_store(&self, report: StoreReport) {
        self.send_to_actor(ControlMessage::Store(report));
    }

    /// Returns the receiver of orders to free stored parts; `None` after the first call.
    pub fn take_free_orders(&self) -> Option<mpsc::UnboundedReceiver<FreePartsOrder>> {
        let mut free_order_receiver = self
            .free_order_receiver
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        free_order_receiver.take()
    }

    /// Hands over the leadership and the vote of this replica before a planned stop. Returns after some
    /// seconds at the latest; the replica then stops with its vote.
    pub async fn prepare_stop(&self) {
        self.send_to_actor(ControlMessage::Stop);
        let began = Instant::now();
        let mut blockers = Vec::new();
        let handed_over = self.wait_for_hand_over(&mut blockers);
        let is_handed_over = timeout(HAND_OVER_TIMEOUT, handed_over).await.is_ok();
        let took = began.elapsed();
        tokio::time::sleep(MIN_STOP_WAIT.saturating_sub(took)).await;
        let status = self.replication_status();
        let waited_for: Vec<String> = blockers.iter().map(ToString::to_string).collect();
        info!(self.log, "ready to stop"; "after_ms" => took.as_millis() as u64,
            "settled" => is_handed_over, "waited_for" => waited_for.join(", "), "leads" => status.leads,
            "voters" => format!("{:?}", status.voters));
    }

    /// Waits until this replica may stop; records in order what it waited for.
    async fn wait_for_hand_over(&self, blockers: &mut Vec<ChangeBlocker>) {
        let mut replication_status = self.replication_status.clone();
        let may_stop = |status: &ReplicationStatus| {
            let blocker = status.stop_blocker;
            blockers.extend(blocker.filter(|b| blockers.last() != Some(b)));
            status.may_stop
        };
        // The actor ends only with the process.
        let _stopped = replication_status.wait_for(may_stop).await.is_err();
    }

    fn send_to_actor(&self, message: ControlMessage) {
        // The actor ends only with the process.
        let _stopped = self.actor.send_message(message).is_err();
    }
}

/// Delay before a failed journal write is retried.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Opens the journal. Waits while its disk is full, so that the process doesn't end for that.
///
/// # Errors
///
/// Returns any other error of the file system.
async fn open_journal(folder: &Path, log: &Logger) -> std::io::Result<(JournalFile, Recovered)> {
    let mut waits = false;
    loop {
        match JournalFile::open(folder) {
            Err(e) if e.kind() == std::io::ErrorKind::StorageFull => {
                if !waits {
                    crit!(log, "journal cannot be opened, retrying until it can";
                        "folder" => %folder.display(), "error" => e.to_string());
                }
                waits = true;
                tokio::time::sleep(DISK_RETRY_DELAY).await;
            }
            opened => return opened,
        }
    }
}

/// Runs the journal thread: writes all queued changes as one batch with one sync. A failed batch is
/// retried until it succeeds; meanwhile this replica acknowledges nothing, and the other replicas
/// continue.
fn write_journal(
    journal: JournalFile,
    queue: &Receiver<JournalWrite>,
    actor: &ActorRef<ControlMessage>,
    log: &Logger,
) {
    let mut writer = JournalWriter::new(journal);
    while let Ok(first) = queue.recv() {
        let began = Instant::now();
        let mut batch = vec![first];
        batch.extend(queue.try_iter());
        let mut failing = false;
        let sequence = loop {
            match writer.write(&mut batch) {
                Ok(sequence) => break sequence,
                Err(e) if !failing => {
                    failing = true;
                    crit!(log, "journal cannot be written, retrying until it can";
                        "error" => e.to_string());
                }
                Err(_) => {}
            }
            std::thread::sleep(DISK_RETRY_DELAY);
        };
        if failing {
            warn!(log, "journal can be written again";
                "after_ms" => began.elapsed().as_millis() as u64);
        }
        let synced = ControlMessage::Synced {
            sequence,
            took: began.elapsed(),
        };
        let _stopped = actor.send_message(synced).is_err();
    }
}
