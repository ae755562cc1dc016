//! The actor that feeds the side core its inputs and carries out its outputs.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;

use dotterelrudder_side::Input;
use dotterelrudder_side::Output;
use dotterelrudder_side::SideCore;
use dotterelrudder_types::Clock;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::Work;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use slog::info;
use slog::Logger;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use super::engine_client::EngineClient;
use super::plain_service_client;
use super::store_client;
use crate::http_client::HttpClient;
use crate::link::LinkEvent;
use crate::link::LinkHub;
use crate::metrics::Metrics;
use crate::system_clock::SystemClock;

/// The messages of the side actor.
#[derive(Debug)]
pub(super) enum SideMessage {
    /// The periodic timer fired.
    Tick,
    /// A connection to another process opened or closed, or delivered a message.
    Link(LinkEvent),
    /// Any other input for the core, such as an event of the backend server.
    Input(Input),
}

/// Posts events of the backend server to the mailbox of the side actor.
#[derive(Debug, Clone)]
pub(super) struct EventSender {
    pub(super) actor: ActorRef<SideMessage>,
}

impl EventSender {
    pub(super) fn post(&self, input: Input) {
        // Sending fails only while the process stops; the event is no longer needed then.
        let _stopped = self.actor.send_message(SideMessage::Input(input)).is_err();
    }
}

/// The state of the side actor: the core, and the handles through which its outputs are carried
/// out.
pub(super) struct SideState {
    pub(super) core: SideCore,
    pub(super) clock: SystemClock,
    pub(super) hub: LinkHub,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
    pub(super) client: HttpClient,
    /// The base URL of the backend server, without a path.
    pub(super) backend_url: String,
    /// Whether the core is ready to take work; `/readyz` reads it.
    pub(super) ready: Arc<AtomicBool>,
    /// The services to whose listed sides this side opens connections; read when the instance list
    /// changes.
    pub(super) services_to_dial: Arc<Mutex<Vec<ServiceName>>>,
    /// Turns true once the core asks the process to exit.
    pub(super) exit_tx: watch::Sender<bool>,
    /// The task of each run in progress, by the number of the run.
    pub(super) run_tasks: HashMap<u64, AbortHandle>,
}

/// The actor that owns the side core.
pub(super) struct SideActor;

impl Actor for SideActor {
    type Msg = SideMessage;
    type State = SideState;
    type Arguments = SideState;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        state: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let input = match message {
            SideMessage::Tick => {
                state
                    .metrics
                    .set_links(state.hub.open_links(), state.hub.frame_errors());
                state.metrics.set_open(state.core.active_attempts());
                Input::Tick
            }
            SideMessage::Input(input) => input,
            SideMessage::Link(LinkEvent::Opened { peer, role, .. }) => Input::Opened { peer, role },
            SideMessage::Link(LinkEvent::Closed { peer }) => Input::Closed { peer },
            SideMessage::Link(LinkEvent::Message {
                peer,
                revision,
                message,
            }) => Input::Message {
                from: peer,
                revision,
                message,
            },
        };
        state.step(input, &EventSender { actor: myself });
        Ok(())
    }
}

impl SideState {
    fn step(&mut self, input: Input, events: &EventSender) {
        if let Input::RunFinished { run, .. } | Input::RunFailed { run, .. } = &input {
            self.run_tasks.remove(run);
        }
        let now = self.clock.now();
        let mut outputs = Vec::new();
        self.core.handle(now, input, &mut outputs);
        for output in outputs {
            self.carry_out(output, events);
        }
        self.ready.store(self.core.is_ready(), Ordering::Relaxed);
    }

    fn engine_client(&self, events: &EventSender) -> EngineClient {
        EngineClient {
            client: self.client.clone(),
            base: self.backend_url.clone(),
            events: events.clone(),
        }
    }

    fn carry_out(&mut self, output: Output, events: &EventSender) {
        match output {
            Output::Send { to, message } => self.hub.send(&to, message),
            Output::Call { run, tier, start } => {
                let revision = self.core.revision().0;
                info!(self.log, "run"; "run" => run, "attempt" => start.attempt.to_string(),
                    "tier" => tier.as_str(), "revision" => revision);
                self.metrics.count_request();
                let task = match &start.work {
                    Work::Completion { .. } => {
                        tokio::spawn(self.engine_client(events).run_completion(run, tier, start))
                    }
                    Work::Call { .. } => {
                        let (client, base) = (self.client.clone(), self.backend_url.clone());
                        tokio::spawn(plain_service_client::call_service(
                            client,
                            base,
                            events.clone(),
                            run,
                            start,
                        ))
                    }
                };
                self.run_tasks.insert(run, task.abort_handle());
            }
            Output::CancelRun { run } => {
                if let Some(task) = self.run_tasks.remove(&run) {
                    task.abort();
                }
                tokio::spawn(self.engine_client(events).cancel_run(run));
            }
            Output::ImportBlock {
                run,
                key,
                version,
                data,
            } => {
                tokio::spawn(
                    self.engine_client(events)
                        .import_block(run, key, version, data),
                );
            }
            Output::ExportBlock { key } => {
                tokio::spawn(self.engine_client(events).export_block(key));
            }
            Output::LoadVersion { fence, version } => {
                info!(self.log, "order"; "fence" => fence, "version" => version.as_str());
                tokio::spawn(self.engine_client(events).load_version(fence, version));
            }
            Output::WriteSlot { slot, data } => {
                let (client, base) = (self.client.clone(), self.backend_url.clone());
                tokio::spawn(store_client::write_slot(
                    client,
                    base,
                    events.clone(),
                    slot,
                    data,
                ));
            }
            Output::ReadSlot { slot } => {
                let (client, base) = (self.client.clone(), self.backend_url.clone());
                tokio::spawn(store_client::read_slot(client, base, events.clone(), slot));
            }
            Output::InForce { revision } => {
                info!(self.log, "configuration in force"; "revision" => revision.0);
                self.hub.set_revision(revision);
                self.metrics.set_revision(revision.0);
                let mut services = self
                    .services_to_dial
                    .lock()
                    .unwrap_or_else(|e| e.into_inner());
                *services = self.core.services_to_dial();
            }
            Output::Exit => {
                let _watched = self.exit_tx.send(true);
            }
        }
    }
}
