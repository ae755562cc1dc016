//! The actor that owns a control instance's [`ControlCore`]: feeds events to it and carries its
//! outputs out.

use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_config::Configuration;
use dotterelrudder_control::AuditRow;
use dotterelrudder_control::ControlCore;
use dotterelrudder_control::ControlStatus;
use dotterelrudder_control::FreePartsOrder;
use dotterelrudder_control::Input;
use dotterelrudder_control::Output;
use dotterelrudder_control::StoreReport;
use dotterelrudder_types::Clock;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::RunnerRecord;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use slog::info;
use slog::warn;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::HeldChange;
use super::JournalWrite;
use super::ReplicationStatus;
use crate::link::LinkEvent;
use crate::link::LinkHub;
use crate::logging;
use crate::metrics::Metrics;
use crate::system_clock::wall_ms;
use crate::system_clock::SystemClock;

/// Messages to [`ControlActor`].
#[derive(Debug)]
pub(super) enum ControlMessage {
    /// Time has passed; the core's timers run.
    Tick,
    /// A connection opened, closed or received a message.
    Link(LinkEvent),
    /// The journal is synced up to and including a record.
    Synced {
        /// Sequence number of the record.
        sequence: u64,
        /// Time from the start of the write to the end of the sync, including retries.
        took: Duration,
    },
    /// A command to log; the sender receives the result.
    Propose(Box<Command>, oneshot::Sender<CommandResult>),
    /// Requests the configuration and the audit trail.
    Read(oneshot::Sender<(Configuration, Vec<AuditRow>)>),
    /// Requests the status of the replica.
    Status(oneshot::Sender<ControlStatus>),
    /// Requests the number of connected processes that have at least a revision in force, and the
    /// number of all connected processes.
    CountInForce(Revision, oneshot::Sender<(usize, usize)>),
    /// The set of other control instances changed.
    Peers(Vec<InstanceName>),
    /// The platform's list of backend servers was read.
    Listed(Vec<RunnerRecord>),
    /// A store was read, or did not answer.
    Store(StoreReport),
    /// The process is about to stop; the replica hands over its leadership and its vote.
    Stop,
}

/// State of [`ControlActor`].
pub(super) struct ControlState {
    pub(super) core: ControlCore,
    pub(super) clock: SystemClock,
    pub(super) hub: LinkHub,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
    pub(super) replication_status: watch::Sender<ReplicationStatus>,
    pub(super) free_orders: mpsc::UnboundedSender<FreePartsOrder>,
    pub(super) journal: std::sync::mpsc::Sender<JournalWrite>,
    pub(super) pending_proposals: HashMap<u64, oneshot::Sender<CommandResult>>,
    pub(super) next_tag: u64,
    pub(super) initial_outputs: Vec<Output>,
    pub(super) held_change: HeldChange,
}

/// Drives a [`ControlCore`].
pub(super) struct ControlActor;

impl Actor for ControlActor {
    type Msg = ControlMessage;
    type State = ControlState;
    type Arguments = ControlState;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        mut state: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let initial_outputs = std::mem::take(&mut state.initial_outputs);
        state.perform_outputs(initial_outputs);
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.clock.now();
        match message {
            ControlMessage::Tick => {
                state
                    .metrics
                    .set_links(state.hub.open_links(), state.hub.frame_errors());
                let at_ms = wall_ms(&state.clock);
                state.handle_input(Input::WallClock { at_ms });
                state.handle_input(Input::Tick);
                state.log_held_change(now);
            }
            ControlMessage::Link(event) => {
                if let LinkEvent::Opened {
                    role: Role::Control,
                    data_centre,
                    ..
                } = &event
                {
                    state.handle_input(Input::ControlSeen {
                        data_centre: data_centre.clone(),
                    });
                }
                state.handle_input(link_input(event));
            }
            ControlMessage::Synced { sequence, took } => {
                state.metrics.record_sync(took.as_secs_f64());
                state.handle_input(Input::Synced { sequence });
            }
            ControlMessage::Propose(command, reply) => {
                state.next_tag += 1;
                state.pending_proposals.insert(state.next_tag, reply);
                state.handle_input(Input::Propose {
                    tag: state.next_tag,
                    command: *command,
                });
            }
            ControlMessage::Read(reply) => {
                let replicated = state.core.state();
                let answer = (
                    replicated.configuration().clone(),
                    replicated.audit().to_vec(),
                );
                let _receiver_dropped = reply.send(answer).is_err();
            }
            ControlMessage::Status(reply) => {
                let _receiver_dropped = reply.send(state.core.status(now)).is_err();
            }
            ControlMessage::CountInForce(revision, reply) => {
                let _receiver_dropped = reply.send(state.core.count_in_force(revision)).is_err();
            }
            ControlMessage::Peers(peers) => state.handle_input(Input::Peers { peers }),
            ControlMessage::Listed(rows) => state.handle_input(Input::RunnersListed { rows }),
            ControlMessage::Store(report) => state.handle_input(Input::Store(report)),
            ControlMessage::Stop => state.handle_input(Input::Stop),
        }
        state.publish_replication_status(now);
        Ok(())
    }
}

fn link_input(event: LinkEvent) -> Input {
    match event {
        LinkEvent::Opened {
            peer, message_set, ..
        } => Input::Opened { peer, message_set },
        LinkEvent::Closed { peer } => Input::Closed { peer },
        LinkEvent::Message { peer, message, .. } => Input::Message {
            from: peer,
            message,
        },
    }
}

impl ControlState {
    /// Logs what a change of members waits for that is due and held back.
    fn log_held_change(&mut self, now: Duration) {
        let blocker = self.core.raft().change_blocker(now);
        if let Some(blocker) = self.held_change.update(blocker, now) {
            info!(self.log, "change of members held back"; "waits_for" => %blocker);
        }
    }

    /// Publishes the replication status to the daemon's other tasks if it changed.
    fn publish_replication_status(&mut self, now: Duration) {
        let replication_status = ReplicationStatus {
            fresh: self.core.is_fresh(now),
            leads: self.core.holds_leader_lease(now),
            durable: self.core.has_enough_voters(),
            controls: self.core.control_instances(),
            voters: self.core.voting_instances(),
            may_stop: self.core.may_stop(),
            stop_blocker: self.core.raft().stop_blocker(now),
            stores: self.core.stores_to_read(now),
        };
        let term = self.core.raft().term();
        self.metrics.set_leadership(replication_status.leads, term);
        self.replication_status.send_if_modified(|published| {
            let changed = *published != replication_status;
            if published.leads != replication_status.leads
                || published.controls != replication_status.controls
                || published.voters != replication_status.voters
            {
                let names = |of: &[InstanceName]| {
                    format!("{:?}", of.iter().map(|c| c.as_str()).collect::<Vec<_>>())
                };
                info!(self.log, "standing in the log"; "leads" => replication_status.leads,
                    "term" => term, "commit" => self.core.raft().commit(),
                    "members" => names(&replication_status.controls),
                    "voters" => names(&replication_status.voters));
            }
            *published = replication_status;
            changed
        });
    }

    fn handle_input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.core.handle(self.clock.now(), input, &mut out);
        self.perform_outputs(out);
    }

    fn perform_outputs(&mut self, out: Vec<Output>) {
        let mut bytes = Vec::new();
        let mut last = 0;
        for output in out {
            match output {
                Output::Persist { sequence, record } => {
                    record.encode(&mut bytes);
                    last = sequence;
                }
                Output::Rewrite { sequence, records } => {
                    self.queue_append(last, std::mem::take(&mut bytes));
                    self.queue_journal_write(JournalWrite::Rewrite { sequence, records });
                }
                Output::Send { to, message } => self.hub.send(&to, message),
                Output::Answer { tag, result } => {
                    if let Some(reply) = self.pending_proposals.remove(&tag) {
                        let _receiver_dropped = reply.send(result).is_err();
                    }
                }
                Output::InForce { revision } => {
                    info!(self.log, "configuration in force"; "revision" => revision.0);
                    self.hub.set_revision(revision);
                    self.metrics.set_revision(revision.0);
                }
                Output::FreePartsOrder(order) => {
                    info!(self.log, "stored parts selected for freeing"; "store" => %order.store,
                        "parts" => order.parts.len(), "epoch" => order.epoch);
                    // A daemon that reads no stores has no receiver of these orders; the parts then
                    // stay in the store.
                    let _no_store_reader = self.free_orders.send(order).is_err();
                }
                Output::Evacuations { evacuated } => {
                    info!(self.log, "evacuated data centres changed";
                        "evacuated" => logging::join_names(&evacuated));
                    self.metrics.set_evacuated_data_centres(evacuated.len());
                }
                Output::EvacuationEnded {
                    data_centre,
                    runners,
                } => {
                    info!(self.log, "evacuation ended, backend servers there may be cold";
                        "data_centre" => data_centre.as_str(), "servers" => runners);
                }
                Output::NewIdentity { old, new } => {
                    warn!(self.log, "disk rolled back, damaged or replaced; joining with new identity";
                        "old" => format!("{old:016x}"), "new" => format!("{new:016x}"));
                }
            }
        }
        self.queue_append(last, bytes);
    }

    fn queue_append(&self, sequence: u64, bytes: Vec<u8>) {
        if !bytes.is_empty() {
            self.queue_journal_write(JournalWrite::Append { sequence, bytes });
        }
    }

    fn queue_journal_write(&self, write: JournalWrite) {
        // The journal thread ends only with the process.
        let _stopped = self.journal.send(write).is_err();
    }
}

/// Returns the refusal that reports a failed command to an operator, or `None` if the command
/// succeeded.
pub(super) fn refusal_of(result: &CommandResult) -> Option<Refusal> {
    match result {
        CommandResult::Refused(refusal) => Some(refusal.clone()),
        CommandResult::Conflict {
            revision,
            winner,
            author,
        } => {
            let detail = format!(
                "revision {revision} is in force: change \"{winner}\" by \"{author}\" was accepted first"
            );
            Some(Refusal::new(
                dotterelrudder_types::ErrorKind::Conflict,
                detail,
            ))
        }
        _ => None,
    }
}
