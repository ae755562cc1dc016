//! The actor that feeds the entry core its inputs and carries out its outputs.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_route::AnswerEvent;
use dotterelrudder_route::EntryCore;
use dotterelrudder_route::Input;
use dotterelrudder_route::Output;
use dotterelrudder_route::Target;
use dotterelrudder_types::Clock;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use slog::info;
use slog::Logger;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::link::LinkEvent;
use crate::link::LinkHub;
use crate::metrics::Metrics;
use crate::system_clock::SystemClock;

/// A request of a caller, with the channel for the events of its response.
#[derive(Debug)]
pub(super) struct NewRequest {
    pub(super) id: u64,
    /// The bearer key that the caller presented.
    pub(super) key: Option<CompactString>,
    pub(super) target: Target,
    pub(super) time_limit: Duration,
    pub(super) idempotency_key: Option<CompactString>,
    pub(super) events_tx: UnboundedSender<AnswerEvent>,
}

/// The messages of the entry actor.
#[derive(Debug)]
pub(super) enum EntryMessage {
    /// The periodic timer fired.
    Tick,
    /// A connection to another process opened or closed, or delivered a message.
    Link(LinkEvent),
    /// A caller sent a request.
    Request(Box<NewRequest>),
    /// Any other input for the core.
    Input(Input),
}

/// The state of the entry actor: the core, and the handles through which its outputs are carried
/// out.
pub(super) struct EntryState {
    pub(super) core: EntryCore,
    pub(super) clock: SystemClock,
    pub(super) hub: LinkHub,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
    /// Whether the core is ready to take requests; `/readyz` reads it.
    pub(super) ready: Arc<AtomicBool>,
    /// Turns true once the core asks the process to exit.
    pub(super) exit_tx: watch::Sender<bool>,
    /// The open requests by their ids: the channel for the response, the time at which the request
    /// arrived, and whether its first chunk was sent.
    pub(super) callers: HashMap<u64, (UnboundedSender<AnswerEvent>, Duration, bool)>,
}

/// The actor that owns the entry core.
pub(super) struct EntryActor;

impl Actor for EntryActor {
    type Msg = EntryMessage;
    type State = EntryState;
    type Arguments = EntryState;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        state: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let input = match message {
            EntryMessage::Tick => {
                state
                    .metrics
                    .set_links(state.hub.open_links(), state.hub.frame_errors());
                state.metrics.set_open(state.core.open_requests());
                Input::Tick
            }
            EntryMessage::Input(input) => input,
            EntryMessage::Link(event) => link_input(event),
            EntryMessage::Request(req) => state.accept_request(*req),
        };
        state.step(input);
        Ok(())
    }
}

fn link_input(event: LinkEvent) -> Input {
    match event {
        LinkEvent::Opened {
            peer,
            role,
            incarnation,
            ..
        } => Input::Opened {
            peer,
            role,
            incarnation,
        },
        LinkEvent::Closed { peer } => Input::Closed { peer },
        LinkEvent::Message {
            peer,
            revision,
            message,
        } => Input::Message {
            from: peer,
            revision,
            message,
        },
    }
}

impl EntryState {
    fn accept_request(&mut self, req: NewRequest) -> Input {
        let NewRequest {
            id,
            key,
            target,
            time_limit,
            idempotency_key,
            events_tx,
        } = req;
        self.metrics.count_request();
        self.callers
            .insert(id, (events_tx, self.clock.now(), false));
        Input::Request {
            id,
            key,
            target,
            time_limit,
            idempotency_key,
        }
    }

    fn step(&mut self, input: Input) {
        let now = self.clock.now();
        let mut outputs = Vec::new();
        self.core.handle(now, input, &mut outputs);
        for output in outputs {
            self.carry_out(output, now);
        }
        self.ready.store(self.core.is_ready(), Ordering::Relaxed);
    }

    fn carry_out(&mut self, output: Output, now: Duration) {
        match output {
            Output::Send { to, message } => self.hub.send(&to, message),
            Output::Respond { id, event } => self.respond(id, event, now),
            Output::Placed { id, attempt, side } => {
                let revision = self.core.revision().0;
                info!(self.log, "placed"; "id" => id.to_string(), "attempt" => attempt.to_string(),
                    "side" => side.as_str(), "revision" => revision);
            }
            Output::InForce { revision } => {
                info!(self.log, "configuration in force"; "revision" => revision.0);
                self.hub.set_revision(revision);
                self.metrics.set_revision(revision.0);
            }
            Output::Exit => {
                let _watched = self.exit_tx.send(true);
            }
        }
    }

    fn respond(&mut self, id: u64, event: AnswerEvent, now: Duration) {
        let Some((events_tx, received_at, first_chunk_sent)) = self.callers.get_mut(&id) else {
            return;
        };
        let mut last = false;
        match &event {
            AnswerEvent::Chunk(_) if !*first_chunk_sent => {
                *first_chunk_sent = true;
                self.metrics
                    .record_first_token(now.saturating_sub(*received_at).as_secs_f64());
            }
            AnswerEvent::Finished(usage) => {
                last = true;
                self.metrics.count_usage(*usage);
            }
            AnswerEvent::Refused(refusal) => {
                last = true;
                self.metrics.count_refusal(refusal.kind.row().code);
                info!(self.log, "refused"; "id" => id.to_string(), "kind" => refusal.kind.row().code,
                    "outcome" => refusal.outcome.as_str(), "detail" => refusal.detail.as_str());
            }
            _ => {}
        }
        // A disconnected caller is reported to the core by `Input::CallerGone`.
        let _gone = events_tx.send(event).is_err();
        if last {
            self.callers.remove(&id);
        }
    }
}
