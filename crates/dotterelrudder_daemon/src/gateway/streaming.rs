//! Relays streams to callers, and fails over to another runner where the route allows it.

use super::response_body::ResponseBody;
use crate::task_body::ResponseAborted;
use crate::task_body::TaskBody;
use bytes::Bytes;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::EventSequence;
use dotterelrudder_gateway::EventSplitter;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_gateway::StreamPosition;
use dotterelrudder_gateway::StreamProgress;
use http::header::CONTENT_LENGTH;
use http::Response;
use http_body_util::BodyExt;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::attempt::AttemptFailure;
use super::attempt::FailureKind;
use super::bodies::is_framed;
use super::bodies::ENDED_WITH_RUNNER;
use super::request::ActiveRequest;
use super::request::AttemptLog;
use super::request::ServeResult;
use super::request::StartedStream;
use super::server::EntryServer;
use super::stream_buffer::StreamBuffer;
use super::takeover::Takeover;
use super::takeover::RUNNER_CHECK_INTERVAL;

/// The number of events buffered for a slow caller. When the buffer is full, the runner's stream is
/// not read further.
const STREAM_BUFFER_CHUNKS: usize = 32;

/// How the relay of one runner's stream ended.
enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    CallerDisconnected,
    /// The stream broke or stalled; it may resume at another runner.
    Broken(AttemptFailure),
    /// The response exceeds the size limit. It is not resumed, since the events that were already
    /// relayed are not the start of a valid response.
    TooLong(AttemptFailure),
    /// The stream was silent for too long, or broke, while another runner was taking it over.
    TakenOver(AttemptFailure, Takeover),
}

impl RelayEnd {
    /// Returns the end of a stream that broke, with the takeover that was under way.
    fn broken_during(failure: AttemptFailure, takeover: Option<Takeover>) -> Self {
        match takeover {
            Some(takeover) => Self::TakenOver(failure, takeover),
            None => Self::Broken(failure),
        }
    }
}

impl<D> EntryServer<D>
where
    D: Dialect,
{
    /// Returns a response whose body is relayed by a task, until the time limit of the route.
    pub(super) fn stream(
        self: &Arc<Self>,
        request: Arc<ActiveRequest>,
        started: StartedStream,
        log: AttemptLog,
    ) -> Response<ResponseBody> {
        let (tx, rx) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        let mut head = started.head.clone();
        head.headers.remove(CONTENT_LENGTH);
        let server = self.clone();
        let stream_deadline = request.began + request.admission.route.time_limit;
        let task = tokio::spawn(async move {
            let left = stream_deadline.saturating_sub(server.now());
            let relay_stream = server.relay_stream(&request, started, log, &tx);
            let relayed = match timeout(left, relay_stream).await {
                Ok(relayed) => relayed,
                Err(_) => Err(ResponseAborted("the time limit of the route was exceeded")),
            };
            if let Err(broken) = &relayed {
                let version = server.gateway().configuration().version;
                server.metrics.count_aborted_stream(broken.0);
                slog::warn!(server.log, "stream to caller aborted"; "id" => request.call.id.as_str(),
                    "reason" => broken.0, "version" => version,
                    "age_ms" => server.now().saturating_sub(request.began).as_millis() as u64);
            }
            relayed
        });
        self.relay_response(head, TaskBody::new(rx, task).boxed())
    }

    /// Relays a stream in complete events. When the stream breaks or stalls, it resumes at another
    /// runner after the last relayed event, where the route allows it.
    ///
    /// # Errors
    ///
    /// Returns why the response ends incomplete.
    async fn relay_stream(
        self: &Arc<Self>,
        request: &Arc<ActiveRequest>,
        mut started: StartedStream,
        mut log: AttemptLog,
        tx: &mpsc::Sender<Bytes>,
    ) -> Result<(), ResponseAborted> {
        let resume_after = request.call.resume_after.clone();
        let resume_after = resume_after.filter(|_| request.admission.route.kind.may_repeat());
        let mut position = StreamPosition::new(resume_after);
        loop {
            let (failure, may_resume, takeover) = match self
                .relay_events(request, &mut started, &mut log, &mut position, tx)
                .await
            {
                // A runner that has nothing to add doesn't show that the stream was complete.
                RelayEnd::Complete if position.last_event().is_some() && !started.passed_event => {
                    let reason = "the resumed stream ended without an event";
                    (AttemptFailure::answer_lost(reason), true, None)
                }
                RelayEnd::Complete => {
                    started.guard.end(RunOutcome::Answered);
                    self.return_connection(started.upstream);
                    return Ok(());
                }
                RelayEnd::CallerDisconnected => return Ok(()),
                RelayEnd::Broken(failure) => (failure, true, None),
                RelayEnd::TooLong(failure) => (failure, false, None),
                RelayEnd::TakenOver(failure, takeover) => (failure, true, Some(takeover)),
            };
            log.software = started.software(&log);
            started.guard.end(failure.outcome);
            drop(started.upstream);
            if failure.shows_lost_runner() {
                self.note_lost_runner(&started.placement);
            }
            if failure.kind == FailureKind::ConnectionLost && !started.passed_event {
                let (placement, sent_at) = (&started.placement, started.sent_at);
                self.record_lost_connection(request, placement, sent_at, &failure.reason);
            }
            slog::info!(self.log, "stream from runner failed"; "id" => request.call.id.as_str(),
                "broken" => format!("{} {}", started.placement.identity, started.placement.address),
                "software" => started.placement.software.as_deref().unwrap_or(""),
                "reason" => failure.reason.as_str(),
                "after" => position.last_event().map_or("", |id| id.as_str()),
                "resumable" => position.is_resumable());
            let after = position.last_event().cloned();
            let result = match takeover {
                Some(mut takeover) => {
                    let end = takeover.end().await;
                    log = end.log;
                    let silent = &started.placement;
                    self.finish_takeover(request, silent, end.result, &mut log, after.as_deref())
                        .await
                }
                None => {
                    let allowed = may_resume
                        && request.may_go_on(&log, &position)
                        && !self.gateway().is_suspect(self.now(), request.traits())
                        && self.may_repeat_after(&failure, &request.admission.service);
                    if !allowed {
                        return Err(ResponseAborted("the stream from the runner failed"));
                    }
                    log.may_have_run += 1;
                    log.broke_off_at = Some(self.now());
                    self.run_attempts(request, &mut log, after.as_deref()).await
                }
            };
            let mut notes = std::mem::take(&mut log.notes);
            match result {
                ServeResult::Stream(next, mut next_log) => {
                    notes.append(&mut next_log.notes);
                    slog::info!(self.log, "stream resumed on another runner";
                        "id" => request.call.id.as_str(),
                        "software" => next.placement.software.as_deref().unwrap_or(""),
                        "attempts" => notes.join("; "));
                    started = *next;
                    log = next_log;
                }
                ServeResult::Complete(..) | ServeResult::Refused(_) => {
                    slog::info!(self.log, "stream not resumed on another runner";
                        "id" => request.call.id.as_str(), "attempts" => notes.join("; "));
                    return Err(ResponseAborted("no other runner resumed the stream"));
                }
            }
        }
    }

    /// Relays the events of one runner's stream until it ends, breaks or stalls.
    async fn relay_events(
        self: &Arc<Self>,
        request: &Arc<ActiveRequest>,
        started: &mut StartedStream,
        log: &mut AttemptLog,
        position: &mut StreamPosition,
        tx: &mpsc::Sender<Bytes>,
    ) -> RelayEnd {
        let limits = &self.answer_limits;
        let pause_objective = request.admission.route.pause_objective;
        let mut progress = StreamProgress::new(pause_objective, self.now());
        let mut splitter = EventSplitter::default();
        let last_event = position.last_event().map(|id| id.as_str());
        let mut sequence = EventSequence::after(last_event, self.dialect.event_fields());
        let mut received = 0;
        let mut next = started.first.take();
        let mut takeover: Option<Takeover> = None;
        let mut buffer = StreamBuffer::new(tx, &request.intake);
        loop {
            if let Some(part) = next.take() {
                received += part.len();
                splitter.push(&part);
                while let Some(event) = splitter.take() {
                    if let Err(fault) = sequence.accept(&event) {
                        let failure = AttemptFailure::answer_lost(fault.as_str());
                        return RelayEnd::broken_during(failure, takeover);
                    }
                    if event.is_progress() && !started.passed_event {
                        started.passed_event = true;
                        self.record_answer_begun(request, &started.placement);
                    }
                    if let Some(takeover) = takeover.take_if(|_| event.is_progress()) {
                        takeover.record(None, log);
                    }
                    position.record(&event);
                    let sent = buffer.send(&event.bytes);
                    let is_connected = match &takeover {
                        None => sent.await,
                        // A comment that the caller doesn't take must not hold the takeover up.
                        Some(t) => match timeout(t.time_left(self.now()), sent).await {
                            Ok(sent) => sent,
                            Err(_) => continue,
                        },
                    };
                    if !is_connected {
                        return RelayEnd::CallerDisconnected;
                    }
                    progress.passed(&event, self.now());
                }
                if splitter.rest().len() > limits.event.get() {
                    let failure = AttemptFailure::answer_lost("an event exceeds the size limit");
                    return RelayEnd::broken_during(failure, takeover);
                }
                if received > limits.answer.get() {
                    return RelayEnd::TooLong(AttemptFailure::answer_lost(
                        "the answer exceeds the size limit",
                    ));
                }
            }
            if takeover.is_none() {
                takeover = self.begin_takeover(request, started, log, position, &progress);
            }
            if let Some(takeover) = takeover.take_if(|t| t.is_due(self.now())) {
                let failure = self.silence_failure(started, &progress);
                return RelayEnd::TakenOver(failure, takeover);
            }
            let patience = takeover.as_ref().map(|t| t.time_left(self.now()));
            let patience = patience.unwrap_or(RUNNER_CHECK_INTERVAL);
            let taken_over = async {
                match &mut takeover {
                    Some(takeover) => takeover.end().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                frame = timeout(patience, started.body.frame()) => match frame {
                    Ok(Some(Ok(frame))) => next = frame.into_data().ok(),
                    Ok(Some(Err(e))) => {
                        let failure = AttemptFailure::connection_lost(e.to_string());
                        return RelayEnd::broken_during(failure, takeover);
                    }
                    Ok(None) => break,
                    // No chunk arrived; the next iteration checks whether the stream is silent.
                    Err(_) => {}
                },
                end = taken_over => {
                    let Some(ended) = takeover.take() else {
                        continue;
                    };
                    if let Ok(ServeResult::Stream(..)) = &end.result {
                        let failure = self.silence_failure(started, &progress);
                        return RelayEnd::TakenOver(failure, ended.ended(end));
                    }
                    self.log_failed_takeover(request, &end.result);
                    ended.record(end.result.err().map(|failure| failure.kind), log);
                }
            }
        }
        if !splitter.rest().is_empty() {
            let failure = AttemptFailure::answer_lost("the stream ended inside an event");
            return RelayEnd::broken_during(failure, takeover);
        }
        if !is_framed(&started.head.headers) && !self.is_still_there(&started.placement).await {
            let failure = AttemptFailure::answer_lost(ENDED_WITH_RUNNER);
            return RelayEnd::broken_during(failure, takeover);
        }
        RelayEnd::Complete
    }
}
