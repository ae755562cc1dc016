//! Attempts of a request: waits for capacity, sends the request to a runner, and fails over to
//! another runner within the retry budget.

use super::attempt::AttemptFailure;
use super::attempt::FailureKind;
use super::attempt::OutgoingRequest;
use dotterelrudder_gateway::AnswerLimit;
use dotterelrudder_gateway::AppliedLimit;
use dotterelrudder_gateway::BackendRequest;
use dotterelrudder_gateway::CapacityRequest;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::NotPlaced;
use dotterelrudder_gateway::PermitWait;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::PlacementQuery;
use dotterelrudder_gateway::RoomRule;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::ServiceName;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use super::answer_start::AnswerStart;
use super::refusals::failure_refusal;
use super::refusals::placement_refusal;
use super::refusals::timeout_refusal;
use super::request::ActiveRequest;
use super::request::AttemptGuard;
use super::request::AttemptLog;
use super::request::QueuePlace;
use super::request::ServeResult;
use super::request::StartedStream;
use super::send_mark::SendMark;
use super::server::EntryServer;

/// The maximum number of runners tried for one request, including those that could not be reached.
pub(super) const MAX_ATTEMPTS: usize = 4;
/// The shortest time before the deadline in which an attempt is still started.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// The time after which a queued request can no longer meet its objective, as a share of the
/// objective from 0 to 1.
pub(super) const DUE_OBJECTIVES: f64 = 0.7;
/// The time after which a queued request is refused as overloaded, as a multiple of the objective.
/// Callers disconnect after four objectives.
pub(super) const MAX_WAIT_OBJECTIVES: f64 = 2.5;
/// The interval at which a queued request checks for capacity. Load reports arrive every few tenths
/// of a second, and requests of this entry end in between.
pub(super) const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(15);

impl<D> EntryServer<D>
where
    D: Dialect,
{
    /// Sends the request to one runner after the other until one responds or no further attempt is
    /// allowed. `resume_after` is the last event that the caller received, when a stream resumes.
    pub(super) async fn run_attempts(
        self: &Arc<Self>,
        request: &ActiveRequest,
        log: &mut AttemptLog,
        resume_after: Option<&str>,
    ) -> ServeResult {
        let route = &request.admission.route;
        for _ in 0..MAX_ATTEMPTS {
            let now = self.now();
            let left = request.deadline.saturating_sub(now);
            if left < MIN_TIME_LEFT {
                return ServeResult::Refused(self.timeout_refusal(request, log));
            }
            let placement = match self.next_placement(request, log).await {
                Ok(placement) => placement,
                Err(refusal) => {
                    let refusal = placement_refusal(refusal, log);
                    return log.failed_answer_or(refusal);
                }
            };
            let left = request.deadline.saturating_sub(self.now());
            log.tried.push(placement.runner);
            let failure = match self
                .attempt_at_runner(request, &placement, left, resume_after, log)
                .await
            {
                Ok(result) => return result,
                Err(failure) => failure,
            };
            log.notes.push(attempt_note(&placement, &failure.reason));
            if failure.is_permit_expired() {
                log.tried.pop();
            }
            log.record_failure(&placement, failure.kind);
            let error_kind = match failure.kind {
                FailureKind::NotSent => continue,
                FailureKind::Declined => ErrorKind::Overloaded,
                FailureKind::AnswerLost
                | FailureKind::ConnectionLost
                | FailureKind::RetryReserved => ErrorKind::BackendFailed,
            };
            log.may_have_run += usize::from(failure.kind != FailureKind::Declined);
            if let Some(refusal) = self.refuse_blocked(request) {
                return log.failed_answer_or(placement_refusal(refusal, log));
            }
            let most = route.max_runners.max(1) as usize;
            let repeatable = log.may_have_run == 0 || route.kind.may_repeat();
            let allowed = repeatable
                && log.may_have_run < most
                && !self.gateway().is_suspect(self.now(), request.traits())
                && self.may_repeat_after(&failure, &request.admission.service);
            if !allowed {
                let refusal = failure_refusal(error_kind, failure.reason, log);
                let refusal = self.with_retry_after(request, refusal);
                return log.failed_answer_or(refusal);
            }
        }
        let reason = "no runner took the request".to_string();
        let refusal = failure_refusal(ErrorKind::Overloaded, reason, log);
        log.failed_answer_or(self.with_retry_after(request, refusal))
    }

    /// Builds the refusal of a request whose deadline passed.
    pub(super) fn timeout_refusal(&self, request: &ActiveRequest, log: &AttemptLog) -> Refusal {
        self.with_retry_after(request, timeout_refusal(log))
    }

    /// Sets when the caller of a request that did not run may retry.
    fn with_retry_after(&self, request: &ActiveRequest, mut refusal: Refusal) -> Refusal {
        if refusal.is_not_run() {
            let service = &request.admission.service;
            let after = self.gateway().time_until_open(self.now(), service);
            refusal.retry_after = Some(after);
        }
        refusal
    }

    /// Returns where the request is sent next: to the runner that it returns to, or to one with room.
    /// If there is none, it returns to a runner that was given up for its silence alone, unless the
    /// request was blocked or the runner's data centre evacuated meanwhile.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no runner can take the request or none had capacity in time.
    async fn next_placement(
        &self,
        request: &ActiveRequest,
        log: &mut AttemptLog,
    ) -> Result<Arc<Placement>, Refusal> {
        let may_return = |given_up: &Arc<Placement>| {
            let (gateway, runner) = (self.gateway(), given_up.runner);
            // A runner that is cold by now needs a permit, which only a new placement takes.
            !gateway.is_evacuated(&given_up.data_centre)
                && !gateway.is_cold(runner)
                && !gateway.is_leaving(runner)
        };
        if let Some(given_up) = log.returns_to.take().filter(may_return) {
            return Ok(given_up);
        }
        let query = self.placement_query(request, log);
        let refusal = match self.wait_for_capacity(request, &query, log).await {
            Ok(placement) => return Ok(Arc::new(placement)),
            Err(refusal) => refusal,
        };
        let is_blocked = self.refuse_blocked(request).is_some();
        let given_up = log.given_up.take().filter(may_return);
        given_up.filter(|_| !is_blocked).ok_or(refusal)
    }

    /// Builds the query for the next runner of a request.
    pub(super) fn placement_query<'a>(
        &self,
        request: &'a ActiveRequest,
        log: &'a AttemptLog,
    ) -> PlacementQuery<'a> {
        let admission = &request.admission;
        let software = log.software.as_deref().or(request.software.as_deref());
        PlacementQuery {
            service: &admission.service,
            prompt: request.call.prompt.as_ref(),
            cache_group: &admission.cache_group,
            tried: &log.tried,
            repeatable: admission.route.kind.may_repeat(),
            objective: admission.route.objective,
            software,
            urgency: self.gateway().urgency(admission),
            request: self.placements.fetch_add(1, Ordering::Relaxed),
            room: RoomRule::Usual,
        }
    }

    /// Takes a retry from the service's retry budget. Returns whether there was one left.
    pub(super) fn may_repeat(&self, service: &ServiceName) -> bool {
        let allowed = self.gateway().may_repeat(self.now(), service);
        self.metrics.count_repeat(allowed);
        allowed
    }

    /// Takes a retry from the retry budget, unless one was taken before the attempt was cancelled.
    /// Returns whether the request may be sent again.
    pub(super) fn may_repeat_after(&self, failure: &AttemptFailure, service: &ServiceName) -> bool {
        failure.kind == FailureKind::RetryReserved || self.may_repeat(service)
    }

    /// Waits in the queue until a runner has capacity for the request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no runner can take the request or none had capacity in time.
    pub(super) async fn wait_for_capacity(
        &self,
        request: &ActiveRequest,
        query: &PlacementQuery<'_>,
        log: &AttemptLog,
    ) -> Result<Placement, Refusal> {
        if let Some(queue) = &self.shortage_queue {
            return self.wait_in_shortage(request, query, log, queue).await;
        }
        let service = query.service;
        let need = capacity_request(request, query, log);
        let wait_limit = log.waits_since(request) + query.objective.mul_f64(MAX_WAIT_OBJECTIVES);
        let mut queue_place = QueuePlace {
            wait_queue: &self.wait_queue,
            ticket: None,
        };
        let wait_start = self.now();
        let mut may_wait_for_permit = false;
        loop {
            if let Some(refusal) = self.refuse_blocked(request) {
                return Err(refusal);
            }
            let now = self.now();
            let permit_wait = if queue_place.may_try(now, service, &need) {
                match self.place(now, query) {
                    Ok(placement) => {
                        let waited = now.saturating_sub(wait_start);
                        self.metrics.record_waited(waited.as_secs_f64());
                        return Ok(placement);
                    }
                    Err(NotPlaced::Refused(refusal)) => return Err(refusal),
                    Err(NotPlaced::Limited(wait)) => Some(wait),
                    Err(NotPlaced::Busy) => None,
                }
            } else {
                self.gateway().queue_behind_others(now, query)
            };
            // The wait is judged once, when the demand of all entries is known: later requests must
            // not drive out one that waits already. After `due` they would go before it.
            if let Some(wait) = permit_wait.filter(|w| w.is_known && !may_wait_for_permit) {
                if now + wait.time >= need.due {
                    return Err(self.refuse_for_limits(query, wait));
                }
                may_wait_for_permit = true;
            }
            if now >= wait_limit {
                return Err(match permit_wait {
                    Some(wait) => self.refuse_for_limits(query, wait),
                    None => self.gateway().overload_refusal(service),
                });
            }
            queue_place.join(service, &need);
            tokio::time::sleep(CAPACITY_POLL_INTERVAL).await;
        }
    }

    /// Builds the refusal of a request that can't get a permit in time, and removes its demand.
    pub(super) fn refuse_for_limits(
        &self,
        query: &PlacementQuery<'_>,
        wait: PermitWait,
    ) -> Refusal {
        self.metrics.count_limit_refusal();
        if wait.is_cold {
            self.metrics.count_cold_refusal();
        }
        let mut gateway = self.gateway();
        gateway.forget_demand(query.request);
        self.limit_report_due.notify_one();
        gateway.limit_refusal(query.service, wait)
    }

    /// Chooses a runner for the request. Has demand for permits reported soon if there is any.
    pub(super) fn place(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
    ) -> Result<Placement, NotPlaced> {
        let mut gateway = self.gateway();
        let placed = gateway.place(now, query);
        if gateway.is_limit_report_due() {
            self.limit_report_due.notify_one();
        }
        placed
    }

    /// Sends the request to one runner and waits for the start of the response.
    ///
    /// # Errors
    ///
    /// Returns a failure if the runner gave no valid response, or if it returned a server error and
    /// the request can be retried.
    pub(super) async fn attempt_at_runner(
        self: &Arc<Self>,
        request: &ActiveRequest,
        placement: &Arc<Placement>,
        left: Duration,
        resume_after: Option<&str>,
        log: &mut AttemptLog,
    ) -> Result<ServeResult, AttemptFailure> {
        let route = &request.admission.route;
        let may_repeat = route.kind.may_repeat();
        let backend_request = self.backend_request(request, placement, left, resume_after);
        let mark = Arc::new(SendMark::default());
        log.in_progress = Some(mark.clone());
        let outgoing = OutgoingRequest {
            head: &request.head,
            body: &request.body,
            intake: &request.intake,
            id: &request.call.id,
            may_repeat,
            mark: &mark,
        };
        let can_retry = request.may_run_again(log);
        // The attempt times out before the request's deadline, so that the failure is recorded
        // against the runner.
        let limit = left.saturating_sub(MIN_TIME_LEFT);
        let began = self.now();
        let prompt = request.call.prompt.as_ref();
        if placement.limit.rate.is_some() {
            self.metrics.count_limited_send();
        }
        let prefill_tokens = self.gateway().sent(began, placement.runner, prompt);
        let guard = self.attempt_guard(request, placement, prefill_tokens, began);
        let first = self.answer_start(
            &outgoing,
            placement,
            &backend_request,
            limit,
            route.kind.is_stream(),
        );
        let first = timeout(limit, first);
        let first = tokio::select! {
            first = first => first.unwrap_or_else(|_| {
                let reason = format!("no answer within {} ms", limit.as_millis());
                Err(AttemptFailure::answer_lost(reason))
            }),
            () = self.until_blocked(request) => {
                Err(AttemptFailure {
                    outcome: RunOutcome::Abandoned,
                    ..AttemptFailure::answer_lost("the request was blocked")
                })
            }
            failure = self.until_replaceable(request, placement.runner, log, began), if can_retry => {
                Err(failure)
            }
        };
        let took = self.now().saturating_sub(began);
        log.in_progress = None;
        match first.map_err(|failure| failure.or_not_sent(&mark)) {
            Err(failure) => {
                guard.end(failure.outcome);
                if failure.shows_lost_runner() {
                    self.note_lost_runner(placement);
                }
                if failure.kind == FailureKind::ConnectionLost {
                    self.record_lost_connection(request, placement, began, &failure.reason);
                }
                if let Some(backoff) = failure.requested_backoff {
                    self.apply_requested_backoff(placement, backoff);
                }
                Err(failure)
            }
            Ok(AnswerStart::Complete(head, body, upstream)) => {
                guard.end(RunOutcome::Answered);
                if !head.status.is_server_error() {
                    self.record_answer(request);
                }
                self.return_connection(upstream);
                let status = head.status;
                let text = format!("status {} after {} ms", status.as_u16(), took.as_millis());
                // The request may have run, which the status would deny.
                if guarantees_not_run(status) {
                    return Err(AttemptFailure::answer_lost(text));
                }
                if can_retry && status.is_server_error() {
                    log.failed_answer = Some((head, body));
                    return Err(AttemptFailure::answer_lost(text));
                }
                log.notes.push(attempt_note(placement, &text));
                Ok(ServeResult::Complete(head, body))
            }
            Ok(AnswerStart::Stream(head, first, body, upstream)) => {
                self.gateway()
                    .prefill_finished(placement.runner, prefill_tokens);
                let expected = placement.estimate.expected.as_secs_f64();
                self.metrics
                    .record_expectation(expected, took.as_secs_f64());
                let text = format!("began after {} ms", took.as_millis());
                log.notes.push(attempt_note(placement, &text));
                let started = StartedStream {
                    placement: placement.clone(),
                    sent_at: began,
                    head,
                    first,
                    passed_event: false,
                    body,
                    upstream,
                    guard,
                };
                Ok(ServeResult::Stream(Box::new(started), std::mem::take(log)))
            }
        }
    }

    /// Records the limit that a runner's response names, and logs changes.
    pub(super) fn record_answer_limit(&self, placement: &Placement, limit: AnswerLimit) {
        if limit == AnswerLimit::Malformed {
            slog::warn!(self.log, "request limit of a runner is not a decimal number";
                "runner" => placement.identity.as_str(), "address" => %placement.address);
        }
        let now = self.now();
        let mut gateway = self.gateway();
        let change = gateway.on_answer_limit(now, placement.runner, limit);
        if gateway.is_limit_report_due() {
            self.limit_report_due.notify_one();
        }
        drop(gateway);
        if let Some((before, after)) = change {
            slog::info!(self.log, "runner changed its request limit";
                "runner" => placement.identity.as_str(), "address" => %placement.address,
                "before_per_s" => before, "limit_per_s" => after);
        }
    }

    /// Sends no requests to a runner for the time that it requested (`Retry-After`).
    fn apply_requested_backoff(&self, placement: &Placement, backoff: Duration) {
        slog::info!(self.log, "runner requested backoff";
            "runner" => placement.identity.as_str(), "address" => %placement.address,
            "asked_ms" => backoff.as_millis() as u64);
        let now = self.now();
        self.gateway().back_off(now, placement.runner, backoff);
    }

    /// Builds the parameters of the request to the chosen runner.
    pub(super) fn backend_request(
        &self,
        request: &ActiveRequest,
        placement: &Placement,
        left: Duration,
        resume_after: Option<&str>,
    ) -> BackendRequest {
        let admission = &request.admission;
        let is_model = request.call.prompt.is_some();
        BackendRequest {
            identity: placement.identity.clone(),
            weights: placement.weights,
            cache_salt: placement.cache_salt.clone(),
            cache: placement.cache.clone(),
            account: admission.account.as_ref().map(|a| a.name.clone()),
            time_left: left,
            urgency: is_model.then(|| self.gateway().urgency(admission)),
            resume_after: resume_after
                .map(Into::into)
                .or_else(|| request.call.resume_after.clone()),
        }
    }

    /// Returns a guard that records the end of the attempt, also if the attempt is dropped.
    /// `prefill_tokens` are then removed from the runner's prefill backlog.
    fn attempt_guard(
        self: &Arc<Self>,
        request: &ActiveRequest,
        placement: &Arc<Placement>,
        prefill_tokens: f64,
        began: Duration,
    ) -> AttemptGuard {
        let (server, placement) = (self.clone(), placement.clone());
        let id = request.call.id.clone();
        AttemptGuard {
            on_end: Some(Box::new(move |outcome| {
                server.metrics.count_attempt(outcome.as_str());
                let now = server.now();
                if matches!(outcome, RunOutcome::Abandoned) {
                    let after = now.saturating_sub(began).as_millis();
                    let text = attempt_note(&placement, &format!("cancelled after {after} ms"));
                    slog::info!(server.log, "attempt cancelled"; "id" => id.as_str(),
                        "attempts" => text);
                }
                let mut gateway = server.gateway();
                gateway.prefill_finished(placement.runner, prefill_tokens);
                gateway.ended(now, placement.runner, outcome);
            })),
        }
    }
}

/// Returns what a request needs of a runner, which decides its place in the wait queue.
pub(super) fn capacity_request(
    request: &ActiveRequest,
    query: &PlacementQuery<'_>,
    log: &AttemptLog,
) -> CapacityRequest {
    CapacityRequest {
        urgency: query.urgency,
        tokens: query.prompt.map_or(0, |p| p.peak_tokens()),
        due: log.waits_since(request) + query.objective.mul_f64(DUE_OBJECTIVES),
    }
}

/// Returns whether callers take a status as the guarantee that the request has not run and never will.
/// A runner's own response with such a status is not relayed unless it gives that guarantee, which
/// makes it the response of an attempt that was declined.
fn guarantees_not_run(status: http::StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Describes an attempt for the log: the runner, the inputs of its estimate, and the result.
fn attempt_note(placement: &Placement, text: &str) -> String {
    let e = &placement.estimate;
    let age = placement.load_age.map_or(-1, |a| a.as_millis() as i64);
    format!(
        "{} {} expected {} ms (reads {} behind {}, fetch {} ms, batch {}, memory {}%), \
         load {} ms old, {} fetched, {} saved{}{}: {}",
        placement.identity,
        placement.address,
        e.expected.as_millis(),
        e.unread as i64,
        e.backlog as i64,
        e.fetch.map_or(-1, |f| f.as_millis() as i64),
        e.batch as i64,
        (e.memory * 100.0) as i64,
        age,
        placement.cache.fetch.iter().flatten().count(),
        placement.cache.save.iter().flatten().count(),
        limit_note(&placement.limit),
        evacuation_note(placement),
        text
    )
}

/// Describes the evacuations that bore on a placement; empty without any.
fn evacuation_note(placement: &Placement) -> String {
    let names: Vec<&str> = placement.evacuated.iter().map(|d| d.as_str()).collect();
    match names.is_empty() {
        true => String::new(),
        false => format!(", {} evacuated", names.join(" and ")),
    }
}

/// Describes the request limits that bore on a placement; empty without any.
fn limit_note(limit: &AppliedLimit) -> String {
    let mut note = String::new();
    if let Some(rate) = limit.rate {
        note = format!(
            ", limit {rate}/s confirmed {} ms ago, {} permits left",
            limit.answered_ago.as_millis(),
            limit.permits_left
        );
    }
    if let Some(rate) = limit.cold_rate {
        note += &format!(", cold at {rate}/s");
    }
    if let Some(runner) = &limit.passed_over {
        note += &format!(", no permit for {runner}");
    }
    note
}
