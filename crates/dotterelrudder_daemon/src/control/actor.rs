//! The actor that owns a control instance's core.

use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_config::Configuration;
use dotterelrudder_control::AuditRow;
use dotterelrudder_control::ControlCore;
use dotterelrudder_control::ControlStatus;
use dotterelrudder_control::FreePartsOrder;
use dotterelrudder_control::Input;
use dotterelrudder_control::Output;
use dotterelrudder_control::Record;
use dotterelrudder_control::StoreReport;
use dotterelrudder_types::Clock;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
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

use super::ControlStanding;
use crate::link::LinkEvent;
use crate::link::LinkHub;
use crate::metrics::Metrics;
use crate::system_clock::wall_ms;
use crate::system_clock::SystemClock;

/// A change of the journal on its way to the disk.
#[derive(Debug)]
pub(super) enum JournalWrite {
    /// Encoded records to append.
    Append {
        /// The number of the last record.
        sequence: u64,
        /// The records.
        bytes: Vec<u8>,
    },
    /// Records that replace everything.
    Rewrite {
        /// The number to report.
        sequence: u64,
        /// The records.
        records: Vec<Record>,
    },
}

/// What the actor is told.
#[derive(Debug)]
pub(super) enum ControlMessage {
    /// Time passed.
    Tick,
    /// Something happened on a connection.
    Link(LinkEvent),
    /// The journal is synced up to a record.
    Synced {
        /// The record's number.
        sequence: u64,
        /// How long the sync took.
        took: Duration,
    },
    /// An operator's command.
    Propose(Box<Command>, oneshot::Sender<CommandResult>),
    /// An operator asks for the configuration and the audit trail.
    Read(oneshot::Sender<(Configuration, Vec<AuditRow>)>),
    /// An operator asks for the status.
    Status(oneshot::Sender<ControlStatus>),
    /// Asks how many live processes have a revision in force.
    CountInForce(Revision, oneshot::Sender<(usize, usize)>),
    /// Other control instances became known or left.
    Peers(Vec<InstanceName>),
    /// The platform's list of backend servers was read.
    Listed(Vec<RunnerRecord>),
    /// A store told what it holds, or doesn't answer.
    Store(StoreReport),
    /// The process shall stop.
    Stop,
}

/// What the actor owns.
pub(super) struct ControlState {
    pub(super) core: ControlCore,
    pub(super) clock: SystemClock,
    pub(super) hub: LinkHub,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
    pub(super) standing: watch::Sender<ControlStanding>,
    pub(super) frees: mpsc::UnboundedSender<FreePartsOrder>,
    pub(super) journal: std::sync::mpsc::Sender<JournalWrite>,
    pub(super) waiting: HashMap<u64, oneshot::Sender<CommandResult>>,
    pub(super) next_tag: u64,
    pub(super) first: Vec<Output>,
}

/// Runs a control instance's core.
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
        let first = std::mem::take(&mut state.first);
        state.carry_out(first);
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
                state.metrics.set_links(state.hub.open_links());
                let at_ms = wall_ms(&state.clock);
                state.step(Input::WallClock { at_ms });
                state.step(Input::Tick);
            }
            ControlMessage::Link(event) => state.step(link_input(event)),
            ControlMessage::Synced { sequence, took } => {
                state.metrics.record_sync(took.as_secs_f64());
                state.step(Input::Synced { sequence });
            }
            ControlMessage::Propose(command, reply) => {
                state.next_tag += 1;
                state.waiting.insert(state.next_tag, reply);
                state.step(Input::Propose {
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
                let _gone = reply.send(answer).is_err();
            }
            ControlMessage::Status(reply) => {
                let _gone = reply.send(state.core.status(now)).is_err();
            }
            ControlMessage::CountInForce(revision, reply) => {
                let _gone = reply.send(state.core.count_in_force(revision)).is_err();
            }
            ControlMessage::Peers(peers) => state.step(Input::Peers { peers }),
            ControlMessage::Listed(rows) => state.step(Input::RunnersListed { rows }),
            ControlMessage::Store(report) => state.step(Input::Store(report)),
            ControlMessage::Stop => state.step(Input::Stop),
        }
        state.publish_standing(now);
        Ok(())
    }
}

fn link_input(event: LinkEvent) -> Input {
    match event {
        LinkEvent::Opened { peer, .. } => Input::Opened { peer },
        LinkEvent::Closed { peer } => Input::Closed { peer },
        LinkEvent::Message { peer, message, .. } => Input::Message {
            from: peer,
            message,
        },
    }
}

impl ControlState {
    /// Publishes what the daemon's other tasks go by, when it changed.
    fn publish_standing(&mut self, now: Duration) {
        let standing = ControlStanding {
            fresh: self.core.is_fresh(now),
            leads: self.core.holds_leader_lease(now),
            durable: self.core.has_enough_voters(),
            controls: self.core.control_instances(),
            stores: self.core.stores_to_read(now),
        };
        let term = self.core.raft().term();
        self.metrics.set_standing(standing.leads, term);
        self.standing.send_if_modified(|held| {
            let changed = *held != standing;
            if held.leads != standing.leads || held.controls != standing.controls {
                info!(self.log, "standing in the log"; "leads" => standing.leads,
                    "term" => term, "commit" => self.core.raft().commit(),
                    "members" => format!("{:?}", standing.controls.iter().map(|c| c.as_str())
                        .collect::<Vec<_>>()));
            }
            *held = standing;
            changed
        });
    }

    fn step(&mut self, input: Input) {
        let mut out = Vec::new();
        self.core.handle(self.clock.now(), input, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        let mut bytes = Vec::new();
        let mut last = 0;
        for output in out {
            match output {
                Output::Persist { sequence, record } => {
                    record.encode(&mut bytes);
                    last = sequence;
                }
                Output::Rewrite { sequence, records } => {
                    self.write(last, std::mem::take(&mut bytes));
                    self.send_write(JournalWrite::Rewrite { sequence, records });
                }
                Output::Send { to, message } => self.hub.send(&to, message),
                Output::Answer { tag, result } => {
                    if let Some(reply) = self.waiting.remove(&tag) {
                        let _gone = reply.send(result).is_err();
                    }
                }
                Output::InForce { revision } => {
                    info!(self.log, "configuration in force"; "revision" => revision.0);
                    self.hub.set_revision(revision);
                    self.metrics.set_revision(revision.0);
                }
                Output::FreePartsOrder(order) => {
                    info!(self.log, "stored parts to free"; "store" => %order.store,
                        "parts" => order.parts.len(), "epoch" => order.epoch);
                    // Nobody listens where no store is read; the parts then stay.
                    let _unheard = self.frees.send(order).is_err();
                }
                Output::NewIdentity { old, new } => {
                    warn!(self.log, "the disk can't be trusted, joining under a new identity";
                        "old" => format!("{old:016x}"), "new" => format!("{new:016x}"));
                }
            }
        }
        self.write(last, bytes);
    }

    fn write(&self, sequence: u64, bytes: Vec<u8>) {
        if !bytes.is_empty() {
            self.send_write(JournalWrite::Append { sequence, bytes });
        }
    }

    fn send_write(&self, write: JournalWrite) {
        // The journal's thread ends only with the process.
        let _stopped = self.journal.send(write).is_err();
    }
}

/// Builds the refusal that a result means, if it means one.
pub(super) fn refusal_of(result: &CommandResult) -> Option<Refusal> {
    match result {
        CommandResult::Refused(refusal) => Some(refusal.clone()),
        CommandResult::Conflict {
            revision,
            winner,
            author,
        } => {
            let detail = format!(
                "revision {revision} is in force: change \"{winner}\" by \"{author}\" came first"
            );
            Some(Refusal::new(
                dotterelrudder_types::ErrorKind::Conflict,
                detail,
            ))
        }
        _ => None,
    }
}
