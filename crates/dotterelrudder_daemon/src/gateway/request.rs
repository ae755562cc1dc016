//! A request while it is served, and what was tried for it.

use super::upstream::UpstreamConnection;
use bytes::Bytes;
use dotterelrudder_gateway::Admission;
use dotterelrudder_gateway::CallerRequest;
use dotterelrudder_gateway::CapacityRequest;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_gateway::RunnerKey;
use dotterelrudder_gateway::WaitQueue;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::ServiceName;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

/// A request while it is served.
pub(super) struct ActiveRequest {
    pub(super) head: http::request::Parts,
    pub(super) body: Bytes,
    pub(super) call: CallerRequest,
    pub(super) admission: Admission,
    pub(super) began: Duration,
    pub(super) deadline: Duration,
}

impl ActiveRequest {
    /// Returns whether the request may run at one more runner beside those where it may have run
    /// and the one where it is now.
    pub(super) fn may_run_again(&self, log: &AttemptLog) -> bool {
        let route = &self.admission.route;
        let most = route.max_runners.max(1) as usize;
        route.kind.may_repeat() && log.may_have_run + 1 < most
    }
}

/// An answer that began.
pub(super) struct StartedStream {
    pub(super) placement: Arc<Placement>,
    pub(super) head: http::response::Parts,
    pub(super) first: Option<Bytes>,
    pub(super) body: Incoming,
    pub(super) upstream: UpstreamConnection,
    pub(super) guard: AttemptGuard,
}

/// Counts an attempt as ended, whichever way it ends.
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

/// The place of one request in the waiting room; it is left whichever way the wait ends.
pub(super) struct QueuePlace<'a> {
    pub(super) wait_queue: &'a Mutex<WaitQueue>,
    pub(super) ticket: Option<u64>,
}

impl QueuePlace<'_> {
    fn wait_queue(&self) -> MutexGuard<'_, WaitQueue> {
        self.wait_queue.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub(super) fn may_try(
        &self,
        now: Duration,
        service: &ServiceName,
        need: &CapacityRequest,
    ) -> bool {
        self.wait_queue().may_try(now, self.ticket, service, need)
    }

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

/// How a request ended before an answer began.
pub(super) enum ServeResult {
    Complete(http::response::Parts, Bytes),
    Stream(Box<StartedStream>, AttemptLog),
    Refused(Refusal),
}

/// What was tried for a request.
#[derive(Default)]
pub(super) struct AttemptLog {
    pub(super) tried: Vec<RunnerKey>,
    pub(super) may_have_run: usize,
    pub(super) notes: Vec<String>,
    /// A runner's own failure, passed on unless another runner does better.
    pub(super) failed_answer: Option<(http::response::Parts, Bytes)>,
}

impl AttemptLog {
    /// Ends with a runner's own failure, if there is one, and else with the refusal.
    pub(super) fn failed_answer_or(&mut self, refusal: Refusal) -> ServeResult {
        match self.failed_answer.take() {
            Some((head, body)) => ServeResult::Complete(head, body),
            None => ServeResult::Refused(refusal),
        }
    }
}
