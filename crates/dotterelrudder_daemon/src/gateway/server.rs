//! Serves callers' requests: admission, attempts at runners, response.

use super::answer_buffers::AnswerBuffers;
use super::answer_limits::AnswerLimits;
use super::audit::AuditGuard;
use super::audit::RequestAudit;
use super::audit::HANDLER_PANICKED;
use super::connection_pool::ConnectionPool;
use super::origin_queries::OriginQueries;
use super::request_intake::RequestIntake;
use super::response_body::full_body;
use super::response_body::paced_body;
use super::response_body::ResponseBody;
use crate::catch_panic::catch_panic;
use crate::http_server::refusal_json;
use crate::intake::CallerConnection;
use crate::metrics::Metrics;
use crate::system_clock::SystemClock;
use bytes::Bytes;
use dotterelrudder_gateway::strip_connection_headers;
use dotterelrudder_gateway::Admission;
use dotterelrudder_gateway::CallerRequest;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::RequestFingerprint;
use dotterelrudder_gateway::ShortageQueue;
use dotterelrudder_gateway::StopDeadline;
use dotterelrudder_gateway::WaitQueue;
use dotterelrudder_types::Clock;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use http::header::CONNECTION;
use http::header::EXPECT;
use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use slog::error;
use slog::Logger;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use tokio::sync::watch;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::bodies::CallerBody;
use super::request::ActiveRequest;
use super::request::AttemptLog;
use super::request::ServeResult;

/// How long a caller waits for the start of the response if the request does not state it.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(60);

/// How long a request that takes a stream up waits for a confirmation of control: two intervals of the
/// queries to the leader.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(1_000);
/// How often it is checked whether the confirmation has come.
const CONFIRMATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The state of the entry that all requests share.
pub(super) struct EntryServer<D> {
    pub(super) dialect: D,
    /// The entry's decisions and the state that they are based on.
    pub(super) gateway: Mutex<Gateway>,
    /// Requests that wait for capacity.
    pub(super) wait_queue: Mutex<WaitQueue>,
    /// Requests that wait for capacity, with the setting `overload_control`; the wait queue is then
    /// not used.
    pub(super) shortage_queue: Option<Mutex<ShortageQueue>>,
    pub(super) pool: ConnectionPool,
    pub(super) clock: SystemClock,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
    /// The time by which the entry has to respond, once a planned stop has begun.
    pub(super) shutting_down: watch::Receiver<Option<StopDeadline>>,
    /// Limits on the size of responses from backend servers.
    pub(super) answer_limits: AnswerLimits,
    pub(super) answer_buffers: AnswerBuffers,
    /// One of this many requests that succeeded at their first attempt is logged; 0 for none.
    pub(super) log_answered_every: u32,
    /// The number of requests that succeeded at their first attempt, logged or not.
    pub(super) routine_requests: AtomicU64,
    /// The number of placements that were begun; it numbers their requests.
    pub(super) placements: AtomicU64,
    /// Notified when the leader should hear of request limits or of demand at once.
    pub(super) limit_report_due: Notify,
    /// Notified when the leader should hear of parts of prompts at once.
    pub(super) part_report_due: Notify,
    /// Notified when control instances should hear of streams that began.
    pub(super) origin_report_due: Notify,
    /// Queries for the origins of streams that wait for replies, by their numbers.
    pub(super) origin_queries: OriginQueries,
    /// Notified when parts of prompts were blocked.
    pub(super) parts_blocked: Notify,
}

impl<D> EntryServer<D>
where
    D: Dialect,
{
    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(super) fn gateway(&self) -> MutexGuard<'_, Gateway> {
        self.gateway.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Serves one request. A fault of the entry itself is answered too, as one that may have run.
    pub(super) async fn serve(self: Arc<Self>, req: Request<Incoming>) -> Response<ResponseBody> {
        if let Some(response) = catch_panic(self.clone().handle(req)).await {
            return response;
        }
        error!(self.log, "request handler panicked");
        let refusal = Refusal::new(ErrorKind::OutcomeUnknown, HANDLER_PANICKED);
        self.refuse(&refusal, &mut RequestAudit::default())
    }

    /// Handles one request. Its log line is written when the response starts, or when the caller
    /// disconnects before.
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<ResponseBody> {
        let began = self.now();
        self.metrics.count_request();
        let (head, body) = req.into_parts();
        // A caller that waits for its turn may send its body or another request after a refusal.
        let awaits_turn = head.headers.contains_key(EXPECT);
        let mut guard = AuditGuard {
            server: &self,
            audit: RequestAudit::default(),
            began,
        };
        let audit = &mut guard.audit;
        let mut closes = false;
        let prepared = tokio::select! {
            prepared = self.read_request(head, body, began, audit) => prepared,
            stop = self.until_stop_deadline() => Err(stop.refusal()),
        };
        let mut response = match prepared {
            Ok(mut request) => match self.find_origin(&mut request).await {
                Ok(()) => self.respond(Arc::new(request), audit).await,
                Err(refusal) => self.refuse(&refusal, audit),
            },
            Err(refusal) => {
                closes |= awaits_turn;
                self.refuse(&refusal, audit)
            }
        };
        audit.status = response.status().as_u16();
        drop(guard);
        if closes || self.shutting_down.borrow().is_some() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    /// Waits until the entry has to respond because it is stopping; forever without a stop.
    async fn until_stop_deadline(&self) -> StopDeadline {
        let mut shutting_down = self.shutting_down.clone();
        let begun = shutting_down.wait_for(Option::is_some).await;
        let Some(stop) = begun.ok().and_then(|stop| *stop) else {
            return std::future::pending().await;
        };
        let left = stop.respond_by().saturating_sub(self.now());
        tokio::time::sleep(left).await;
        stop
    }

    /// Counts a finished request and writes its log line, unless it is a routine request that found
    /// capacity at once and is not sampled.
    pub(super) fn finish_audit(&self, audit: &RequestAudit) {
        self.metrics.count_answer(audit.status);
        if audit.is_routine() && !audit.is_delayed() {
            let before = self.routine_requests.fetch_add(1, Ordering::Relaxed);
            let every = u64::from(self.log_answered_every);
            if every == 0 || !before.is_multiple_of(every) {
                return;
            }
        }
        let age = self.gateway().confirmation_age(self.now());
        audit.write(&self.log, age);
    }

    /// Admits a request and reads its body. What is left of the body of a refused request is read
    /// while the refusal is sent.
    async fn read_request(
        &self,
        head: http::request::Parts,
        body: Incoming,
        began: Duration,
        audit: &mut RequestAudit,
    ) -> Result<ActiveRequest, Refusal> {
        let limits = self.gateway().configuration().limits.clone();
        let mut body = CallerBody::new(body, limits.body_bytes, limits.header_time);
        let admitted = match self.admit_when_confirmed(&head, began, audit).await {
            Ok((call, admission)) => match CallerConnection::of(&head.extensions) {
                Ok(connection) => {
                    let intake = RequestIntake::new(connection, &admission);
                    let read = body.read(&intake).await;
                    read.map(|bytes| (call, admission, intake, bytes))
                }
                Err(refusal) => Err(refusal),
            },
            Err(refusal) => Err(refusal),
        };
        let (call, admission, intake, body) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => {
                if !head.headers.contains_key(EXPECT) {
                    body.discard();
                }
                return Err(refusal);
            }
        };
        let max_wait = call.max_wait.unwrap_or(DEFAULT_MAX_WAIT);
        let mut deadline = began + max_wait.min(admission.route.time_limit);
        let stop = *self.shutting_down.borrow();
        if let Some(stop) = stop {
            deadline = stop.limit(self.now(), deadline, admission.route.objective)?;
        }
        let fingerprint = RequestFingerprint::new(&admission, &call, &head, &body);
        Ok(ActiveRequest {
            head,
            body,
            intake,
            call,
            admission,
            fingerprint,
            began,
            deadline,
            software: None,
            shortage: audit.shortage.clone(),
        })
    }

    /// Admits a request like [`Self::admit`]. One that takes a stream up waits for a moment if control's
    /// last confirmation is too old, as after the entry was frozen: the leader confirms again at once.
    async fn admit_when_confirmed(
        &self,
        head: &http::request::Parts,
        began: Duration,
        audit: &mut RequestAudit,
    ) -> Result<(CallerRequest, Admission), Refusal> {
        loop {
            let now = self.now();
            let admitted = self.admit(head, now, audit);
            let is_unconfirmed = matches!(&admitted, Err(r) if r.kind == ErrorKind::NotReady);
            if !is_unconfirmed || now >= began + MAX_CONFIRMATION_WAIT {
                return admitted;
            }
            let takes_up = |call: CallerRequest| call.resume_after.is_some();
            if !self.dialect.read_caller_request(head).is_ok_and(takes_up) {
                return admitted;
            }
            tokio::time::sleep(CONFIRMATION_CHECK_INTERVAL).await;
        }
    }

    /// Reads the head of a request, and decides whether it may be served.
    fn admit(
        &self,
        head: &http::request::Parts,
        now: Duration,
        audit: &mut RequestAudit,
    ) -> Result<(CallerRequest, Admission), Refusal> {
        let call = self.dialect.read_caller_request(head)?;
        audit.id = call.id.clone();
        let mut gateway = self.gateway();
        audit.version = gateway.configuration().version;
        let admission = gateway.admit(now, &call)?;
        audit.route = admission.route.name.clone();
        audit.service = admission.service.0.clone();
        Ok((call, admission))
    }

    /// Sends the request to runners until the deadline, and builds the response.
    async fn respond(
        self: &Arc<Self>,
        request: Arc<ActiveRequest>,
        audit: &mut RequestAudit,
    ) -> Response<ResponseBody> {
        let mut log = AttemptLog::default();
        let left = request.deadline.saturating_sub(self.now());
        // Requests that were read before a stop began have a deadline that may lie behind its end.
        let result = tokio::select! {
            result = timeout(left, self.run_attempts(&request, &mut log, None)) => result.ok(),
            _stop = self.until_stop_deadline() => None,
        };
        let result =
            result.unwrap_or_else(|| ServeResult::Refused(self.timeout_refusal(&request, &log)));
        audit.attempts.append(&mut log.notes);
        match result {
            ServeResult::Complete(head, body) => {
                // From here on, the response may be cut off if the caller does not read it.
                body.answers();
                self.relay_response(head, paced_body(body))
            }
            ServeResult::Stream(started, mut log) => {
                audit.attempts.append(&mut log.notes);
                let took = self.now().saturating_sub(request.began);
                self.metrics.record_first_token(took.as_secs_f64());
                self.stream(request, *started, log)
            }
            ServeResult::Refused(refusal) => self.refuse(&refusal, audit),
        }
    }

    /// Builds a caller's response from the head of a runner's response, without the headers that
    /// concern one connection.
    pub(super) fn relay_response(
        &self,
        mut head: http::response::Parts,
        body: ResponseBody,
    ) -> Response<ResponseBody> {
        strip_connection_headers(&mut head.headers);
        head.version = http::Version::HTTP_11;
        head.extensions.clear();
        Response::from_parts(head, body)
    }

    /// Builds the response of a refused request.
    fn refuse(&self, refusal: &Refusal, audit: &mut RequestAudit) -> Response<ResponseBody> {
        self.metrics.count_refusal(refusal.kind.row().code);
        audit.reason = refusal.detail.clone();
        let body = Bytes::from(refusal_json(refusal).to_string());
        let mut response = Response::new(full_body(body));
        let status = http::StatusCode::from_u16(refusal.kind.row().status);
        *response.status_mut() = status.unwrap_or(http::StatusCode::BAD_GATEWAY);
        if let Some(after) = refusal.retry_after {
            self.dialect
                .write_retry_after(after, response.headers_mut());
        }
        response
    }
}
