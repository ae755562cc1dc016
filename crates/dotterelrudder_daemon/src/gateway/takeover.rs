//! Takeover by another runner of requests and streams whose runner is silent.
//!
//! Load pattern: a runner that works fine sends nothing for a second and goes on, and one that hangs
//! looks the same. Silence alone therefore ends no answer: an attempt is only given up for another
//! runner that has room, and a stream only after that runner has had time to begin.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_gateway::CapacityRequest;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_gateway::RunnerKey;
use dotterelrudder_gateway::StreamPosition;
use dotterelrudder_gateway::StreamProgress;
use dotterelrudder_types::ErrorKind;

use super::attempt::AttemptFailure;
use super::attempt::FailureKind;
use super::attempt_loop::capacity_request;
use super::attempt_loop::MAX_ATTEMPTS;
use super::refusals::failure_refusal;
use super::request::ActiveRequest;
use super::request::AttemptLog;
use super::request::QueuePlace;
use super::request::ServeResult;
use super::request::StartedStream;
use super::server::EntryServer;

/// The time after which another runner may take a request over, as a multiple of the route's
/// objective for the first chunk.
const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.0;
/// The same time if the runner may be unreachable.
const SUSPECTED_TIMEOUT_OBJECTIVES: f64 = 0.5;
/// The lower limit of that time if the runner isn't suspected.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval at which it is checked whether a runner is silent for too long. Load reports arrive
/// at twice this interval.
pub(super) const RUNNER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a silent runner keeps a stream that another one is taking over. Both work on it in that
/// time.
const TAKEOVER_OVERLAP: Duration = Duration::from_millis(250);

/// How the attempt of a takeover ended, with the log that the stream goes on with.
pub(super) struct TakeoverEnd {
    pub(super) result: Result<ServeResult, AttemptFailure>,
    pub(super) log: AttemptLog,
}

/// A takeover of a stream in progress. Dropping it cancels the attempt at the other runner.
pub(super) struct Takeover {
    /// The runner that takes over.
    runner: RunnerKey,
    /// When the silent runner is given up, unless its stream went on before.
    give_up_at: Duration,
    end: Pin<Box<dyn Future<Output = TakeoverEnd> + Send>>,
}

impl Takeover {
    /// Waits until the attempt has ended.
    pub(super) async fn end(&mut self) -> TakeoverEnd {
        self.end.as_mut().await
    }

    /// Returns a takeover that has ended.
    pub(super) fn ended(self, end: TakeoverEnd) -> Self {
        Self {
            end: Box::pin(std::future::ready(end)),
            ..self
        }
    }

    /// Returns the time until the silent runner is given up.
    pub(super) fn time_left(&self, now: Duration) -> Duration {
        self.give_up_at.saturating_sub(now)
    }

    /// Returns whether the silent runner is given up now.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        now >= self.give_up_at
    }

    /// Records a takeover that did not come about in the log of the stream, which stays where it is.
    pub(super) fn record(self, kind: Option<FailureKind>, log: &mut AttemptLog) {
        use FailureKind::*;
        log.tried.push(self.runner);
        let has_not_run = matches!(kind, Some(NotSent | Declined));
        log.may_have_run += usize::from(!has_not_run);
    }
}

impl<D> EntryServer<D>
where
    D: Dialect,
{
    /// Waits until another runner should take the request over: its runner was silent for too long,
    /// another one has room, and the retry budget allows it. Returns the failure of the attempt, for
    /// which a retry was taken from the budget.
    pub(super) async fn until_replaceable(
        &self,
        request: &ActiveRequest,
        runner: RunnerKey,
        log: &AttemptLog,
        began: Duration,
    ) -> AttemptFailure {
        let objective = request.admission.route.objective;
        let limit = objective.mul_f64(ATTEMPT_TIMEOUT_OBJECTIVES);
        let limit = limit.max(MIN_ATTEMPT_TIMEOUT);
        let suspected_limit = objective.mul_f64(SUSPECTED_TIMEOUT_OBJECTIVES);
        loop {
            tokio::time::sleep(RUNNER_CHECK_INTERVAL).await;
            let now = self.now();
            let may_be_unreachable =
                now > began + suspected_limit && self.gateway().may_be_unreachable(now, runner);
            if (may_be_unreachable || now >= began + limit) && self.reserve_retry(request, log) {
                return if may_be_unreachable {
                    let reason = "no answer, and the runner may be unreachable";
                    AttemptFailure::retry_reserved(RunOutcome::Unreachable, reason)
                } else {
                    let waited = now.saturating_sub(began).as_millis();
                    let reason = format!("no answer within {waited} ms");
                    AttemptFailure::retry_reserved(RunOutcome::Failed, reason)
                };
            }
        }
    }

    /// Takes a retry from the retry budget if the request would be placed at another runner now.
    fn reserve_retry(&self, request: &ActiveRequest, log: &AttemptLog) -> bool {
        let now = self.now();
        let query = self.placement_query(request, log);
        let need = capacity_request(request, &query, log);
        !self.gateway().is_suspect(now, request.traits())
            && self.may_skip_queue(now, request, log, &need)
            && self.gateway().has_room_for(now, &query)
            && self.may_repeat(query.service)
    }

    /// Returns whether no request that waits goes before one that joins the wait queue now.
    fn may_skip_queue(
        &self,
        now: Duration,
        request: &ActiveRequest,
        log: &AttemptLog,
        need: &CapacityRequest,
    ) -> bool {
        if let Some(queue) = &self.shortage_queue {
            let demand = self.capacity_demand(request, log);
            let mut queue = queue.lock().unwrap_or_else(|e| e.into_inner());
            return queue.may_try(now, None, &demand).is_some();
        }
        let queue_place = QueuePlace {
            wait_queue: &self.wait_queue,
            ticket: None,
        };
        queue_place.may_try(now, &request.admission.service, need)
    }

    /// Begins the takeover of a stream if it stalled, another runner has room for it, and the retry
    /// budget allows it. `position` is what the caller has received.
    pub(super) fn begin_takeover(
        self: &Arc<Self>,
        request: &Arc<ActiveRequest>,
        started: &StartedStream,
        log: &AttemptLog,
        position: &StreamPosition,
        progress: &StreamProgress,
    ) -> Option<Takeover> {
        let now = self.now();
        let left = request.deadline.saturating_sub(now);
        let silent = started.placement.runner;
        let may_be_unreachable = || self.gateway().may_be_unreachable(now, silent);
        let may_begin = request.may_go_on(log, position)
            && log.tried.len() < MAX_ATTEMPTS
            && left > TAKEOVER_OVERLAP
            && progress.is_stalled(now, true)
            && progress.is_stalled(now, may_be_unreachable());
        if !may_begin {
            return None;
        }
        let mut log = AttemptLog {
            tried: log.tried.clone(),
            may_have_run: log.may_have_run + 1,
            software: started.software(log),
            ..AttemptLog::default()
        };
        if !self.reserve_retry(request, &log) {
            return None;
        }
        let placement = Arc::new(self.place(now, &self.placement_query(request, &log)).ok()?);
        let runner = placement.runner;
        log.tried.push(runner);
        slog::info!(self.log, "stream is silent, another runner takes over";
            "id" => request.call.id.as_str(), "silent" => started.placement.identity.as_str(),
            "pause_ms" => progress.pause(now).as_millis() as u64,
            "may_be_unreachable" => may_be_unreachable(),
            "runner" => placement.identity.as_str(), "address" => %placement.address);
        let (server, request, after) = (
            self.clone(),
            request.clone(),
            position.last_event().cloned(),
        );
        let end = async move {
            let result = server
                .attempt_at_runner(&request, &placement, left, after.as_deref(), &mut log)
                .await;
            TakeoverEnd { result, log }
        };
        Some(Takeover {
            runner,
            give_up_at: now + TAKEOVER_OVERLAP,
            end: Box::pin(end),
        })
    }

    /// Continues after a takeover of a stream that its runner `silent` has lost: a takeover that failed
    /// is followed by attempts at further runners, where the route allows them. If the runner that was
    /// to take over did not run the request, the stream first returns to `silent`.
    pub(super) async fn finish_takeover(
        self: &Arc<Self>,
        request: &ActiveRequest,
        silent: &Arc<Placement>,
        result: Result<ServeResult, AttemptFailure>,
        log: &mut AttemptLog,
        after: Option<&str>,
    ) -> ServeResult {
        let failure = match result {
            Ok(result) => return result,
            Err(failure) => failure,
        };
        let has_not_run = matches!(failure.kind, FailureKind::NotSent | FailureKind::Declined);
        log.may_have_run += usize::from(!has_not_run);
        log.record_failure(silent, FailureKind::RetryReserved);
        log.record_failure(silent, failure.kind);
        let is_sent = failure.kind != FailureKind::NotSent;
        let most = request.admission.route.max_runners.max(1) as usize;
        let service = &request.admission.service;
        let is_suspect = self.gateway().is_suspect(self.now(), request.traits());
        let may_go_on = !is_sent || !is_suspect && self.may_repeat_after(&failure, service);
        if log.may_have_run < most && may_go_on {
            log.notes.push(failure.reason);
            log.broke_off_at = Some(self.now());
            return self.run_attempts(request, log, after).await;
        }
        let refusal = failure_refusal(ErrorKind::BackendFailed, failure.reason, log);
        ServeResult::Refused(refusal)
    }

    /// Logs a takeover that failed while the first runner still has the stream.
    pub(super) fn log_failed_takeover(
        &self,
        request: &ActiveRequest,
        result: &Result<ServeResult, AttemptFailure>,
    ) {
        let reason = match result {
            Err(failure) => failure.reason.as_str(),
            Ok(_) => "the answer isn't a stream",
        };
        slog::info!(self.log, "stream not taken over, its runner keeps it";
            "id" => request.call.id.as_str(), "reason" => reason);
    }

    /// Returns why a stream is given up that another runner takes over.
    pub(super) fn silence_failure(
        &self,
        started: &StartedStream,
        progress: &StreamProgress,
    ) -> AttemptFailure {
        let now = self.now();
        let runner = started.placement.runner;
        let (outcome, why) = if self.gateway().may_be_unreachable(now, runner) {
            (RunOutcome::Unreachable, "the runner may be unreachable")
        } else {
            (RunOutcome::Failed, "the stream stalled")
        };
        let pause = progress.pause(now).as_millis();
        let reason = format!("{why}, no event for {pause} ms");
        AttemptFailure::retry_reserved(outcome, reason)
    }
}
