//! A request in progress, with its place in the wait queue and its attempts.

use super::attempt::FailureKind;
use super::request_intake::RequestIntake;
use super::send_mark::SendMark;
use super::shortage_note::ShortageNote;
use super::upstream::UpstreamConnection;
use crate::intake::PacedBody;
use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_gateway::Admission;
use dotterelrudder_gateway::CallerRequest;
use dotterelrudder_gateway::CapacityRequest;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::RequestFingerprint;
use dotterelrudder_gateway::RequestTraits;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_gateway::RunnerKey;
use dotterelrudder_gateway::StreamPosition;
use dotterelrudder_gateway::WaitQueue;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::ServiceName;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

/// An admitted request in progress.
pub(super) struct ActiveRequest {
    pub(super) head: http::request::Parts,
    pub(super) body: Bytes,
    /// Counts the memory that is held for the request.
    pub(super) intake: RequestIntake,
    pub(super) call: CallerRequest,
    pub(super) admission: Admission,
    pub(super) fingerprint: RequestFingerprint,
    /// When the request arrived.
    pub(super) began: Duration,
    /// The time by which the response has to start.
    pub(super) deadline: Duration,
    /// The software version at which the stream began that the caller takes up again.
    pub(super) software: Option<CompactString>,
    /// How the request was delayed or refused while capacity was short; shared with its log line.
    pub(super) shortage: Arc<Mutex<Option<ShortageNote>>>,
}

impl ActiveRequest {
    /// Returns what the request may share with others that crash runners.
    pub(super) fn traits(&self) -> RequestTraits<'_> {
        RequestTraits {
            prompt: self.call.prompt.as_ref(),
            fingerprint: self.fingerprint,
        }
    }

    /// Returns whether the request may be sent to another runner after the current one, by the
    /// route's maximum number of runners on which it may have run.
    pub(super) fn may_run_again(&self, log: &AttemptLog) -> bool {
        let route = &self.admission.route;
        let most = route.max_runners.max(1) as usize;
        route.kind.may_repeat() && log.may_have_run + 1 < most
    }

    /// Returns whether a stream may go on at another runner behind what its caller has received.
    pub(super) fn may_go_on(&self, log: &AttemptLog, position: &StreamPosition) -> bool {
        position.is_resumable() && self.may_run_again(log)
    }
}

/// A stream that started, with the attempt that it belongs to.
pub(super) struct StartedStream {
    pub(super) placement: Arc<Placement>,
    /// When the request was sent to this runner.
    pub(super) sent_at: Duration,
    pub(super) head: http::response::Parts,
    /// The first chunk, until it has been relayed.
    pub(super) first: Option<Bytes>,
    /// Whether an event of this runner was relayed; comments don't count.
    pub(super) passed_event: bool,
    pub(super) body: Incoming,
    pub(super) upstream: UpstreamConnection,
    pub(super) guard: AttemptGuard,
}

impl StartedStream {
    /// Returns the software version at which the stream has to go on, if it began at one.
    pub(super) fn software(&self, log: &AttemptLog) -> Option<CompactString> {
        let own = self
            .placement
            .software
            .as_ref()
            .filter(|_| self.passed_event);
        own.or(log.software.as_ref()).cloned()
    }
}

/// Records the end of an attempt once. If dropped without an outcome, the attempt counts as
/// abandoned.
pub(super) struct AttemptGuard {
    pub(super) on_end: Option<Box<dyn FnOnce(RunOutcome) + Send>>,
}

impl AttemptGuard {
    pub(super) fn end(mut self, outcome: RunOutcome) {
        if let Some(on_end) = self.on_end.take() {
            on_end(outcome);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(on_end) = self.on_end.take() {
            on_end(RunOutcome::Abandoned);
        }
    }
}

/// The place of one request in the wait queue; dropping it removes the request from the queue.
pub(super) struct QueuePlace<'a> {
    pub(super) wait_queue: &'a Mutex<WaitQueue>,
    /// The ticket, once the request has joined the queue.
    pub(super) ticket: Option<u64>,
}

impl QueuePlace<'_> {
    fn wait_queue(&self) -> MutexGuard<'_, WaitQueue> {
        self.wait_queue.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns whether the request may try to get capacity now.
    pub(super) fn may_try(
        &self,
        now: Duration,
        service: &ServiceName,
        need: &CapacityRequest,
    ) -> bool {
        self.wait_queue().may_try(now, self.ticket, service, need)
    }

    /// Adds the request to the queue, unless it is in the queue already.
    pub(super) fn join(&mut self, service: &ServiceName, need: &CapacityRequest) {
        if self.ticket.is_none() {
            let ticket = self.wait_queue().join(service, need);
            self.ticket = Some(ticket);
        }
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.wait_queue().leave(ticket);
        }
    }
}

/// The result of the attempts of a request.
pub(super) enum ServeResult {
    /// A complete response of a runner.
    Complete(http::response::Parts, PacedBody),
    /// A stream that started.
    Stream(Box<StartedStream>, AttemptLog),
    /// No runner responded in time, or none could take the request.
    Refused(Refusal),
}

/// The attempts of a request so far.
#[derive(Default)]
pub(super) struct AttemptLog {
    /// The runners at which an attempt was already made.
    pub(super) tried: Vec<RunnerKey>,
    /// The number of failed attempts at which the request may have run.
    pub(super) may_have_run: usize,
    /// Whether bytes of the attempt in progress were written; none while there is no attempt.
    pub(super) in_progress: Option<Arc<SendMark>>,
    /// The description of each attempt, for the request's log line.
    pub(super) notes: Vec<String>,
    /// The runner that was last given up for its silence alone. It may still be sound.
    pub(super) given_up: Option<Arc<Placement>>,
    /// The runner that was given up, if the one that replaced it did not run the request.
    pub(super) returns_to: Option<Arc<Placement>>,
    /// When the stream broke off; the wait for another runner counts from then.
    pub(super) broke_off_at: Option<Duration>,
    /// The software version whose events were relayed, so that the stream goes on only there.
    pub(super) software: Option<CompactString>,
    /// The server error of a runner, relayed to the caller unless another attempt succeeds.
    pub(super) failed_answer: Option<(http::response::Parts, PacedBody)>,
}

impl AttemptLog {
    /// Returns whether no attempt ran the request, and keeps the one in progress from running it.
    pub(super) fn withdraw(&self) -> bool {
        let in_progress = self.in_progress.as_ref();
        self.may_have_run == 0 && in_progress.is_none_or(|mark| mark.withdraw())
    }

    /// Returns the time from which the wait for a runner counts.
    pub(super) fn waits_since(&self, request: &ActiveRequest) -> Duration {
        self.broke_off_at.unwrap_or(request.began)
    }

    /// Records a failed attempt: a runner that was given up for its silence is returned to if its
    /// replacement did not run the request.
    pub(super) fn record_failure(&mut self, placement: &Arc<Placement>, kind: FailureKind) {
        match kind {
            // A runner with a request limit needs a new permit, which only a new placement takes.
            FailureKind::RetryReserved if placement.limit.rate.is_none() => {
                self.given_up = Some(placement.clone());
            }
            FailureKind::Declined | FailureKind::NotSent => {
                self.returns_to = self.given_up.take();
            }
            _ => self.given_up = None,
        }
    }

    /// Returns the server error of a runner, if there is one, and otherwise the refusal.
    pub(super) fn failed_answer_or(&mut self, refusal: Refusal) -> ServeResult {
        match self.failed_answer.take() {
            Some((head, body)) => ServeResult::Complete(head, body),
            None => ServeResult::Refused(refusal),
        }
    }
}
