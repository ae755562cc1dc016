//! Serves one request of a caller: admission, attempts, answer.

use super::answer_limits::AnswerLimits;
use super::audit::AuditGuard;
use super::audit::RequestAudit;
use super::gathering::Gathering;
use super::pool::Pool;
use super::relay::whole;
use super::relay::RelayBody;
use crate::http_server::refusal_json;
use crate::metrics::Metrics;
use crate::system_clock::SystemClock;
use bytes::Bytes;
use dotterelrudder_gateway::strip_connection_headers;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::WaitQueue;
use dotterelrudder_types::Clock;
use dotterelrudder_types::Refusal;
use http::header::CONNECTION;
use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use slog::Logger;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

use super::bodies::read_body;
use super::job::AttemptLog;
use super::job::Ended;
use super::job::Job;
use super::refusals::late;

/// Without a patience of the caller's own.
const PATIENCE_DEFAULT: Duration = Duration::from_secs(60);

/// What serving works with; shared by all requests.
pub(super) struct Serving<D> {
    pub(super) dialect: D,
    pub(super) gateway: Mutex<Gateway>,
    pub(super) room: Mutex<WaitQueue>,
    pub(super) pool: Pool,
    pub(super) clock: SystemClock,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
    pub(super) leaving: watch::Receiver<bool>,
    /// Bounds on what backend servers send.
    pub(super) answer_limits: AnswerLimits,
    pub(super) gathering: Gathering,
    /// One in how many requests that were answered at once leaves its line; 0 for none.
    pub(super) log_answered_every: u32,
    /// Requests that were answered at once, with and without a line.
    pub(super) routine: AtomicU64,
}

impl<D> Serving<D>
where
    D: Dialect,
{
    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(super) fn gateway(&self) -> MutexGuard<'_, Gateway> {
        self.gateway.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Answers one request.
    pub(super) async fn serve(self: Arc<Self>, req: Request<Incoming>) -> Response<RelayBody> {
        let began = self.now();
        self.metrics.count_request();
        let (head, body) = req.into_parts();
        let mut guard = AuditGuard {
            serving: &self,
            audit: RequestAudit::default(),
            began,
        };
        let audit = &mut guard.audit;
        let mut response = match self.read(head, body, began, audit).await {
            Ok(job) => self.answer(Arc::new(job), audit).await,
            Err(refusal) => self.refuse(&refusal, audit),
        };
        audit.status = response.status().as_u16();
        drop(guard);
        if *self.leaving.borrow() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    /// Counts a request's end and writes its line, or counts it among those without one.
    pub(super) fn tell(&self, audit: &RequestAudit) {
        self.metrics.count_answer(audit.status);
        if audit.is_routine() {
            let before = self.routine.fetch_add(1, Ordering::Relaxed);
            let every = u64::from(self.log_answered_every);
            if every == 0 || !before.is_multiple_of(every) {
                return;
            }
        }
        let age = self.gateway().confirmation_age(self.now());
        audit.write(&self.log, age);
    }

    /// Reads the request and decides whether it may be served.
    async fn read(
        &self,
        head: http::request::Parts,
        body: Incoming,
        began: Duration,
        audit: &mut RequestAudit,
    ) -> Result<Job, Refusal> {
        let call = self.dialect.read_caller_request(&head)?;
        audit.id = call.id.clone();
        let (admission, limits) = {
            let mut gateway = self.gateway();
            audit.version = gateway.configuration().version;
            let admission = gateway.admit(began, &call)?;
            (admission, gateway.configuration().limits.clone())
        };
        audit.route = admission.route.name.clone();
        audit.service = admission.service.0.clone();
        let body = read_body(body, limits.body_bytes, limits.header_time).await?;
        let patience = call.max_wait.unwrap_or(PATIENCE_DEFAULT);
        let deadline = began + patience.min(admission.route.time_limit);
        Ok(Job {
            head,
            body,
            call,
            admission,
            began,
            deadline,
        })
    }

    async fn answer(
        self: &Arc<Self>,
        job: Arc<Job>,
        audit: &mut RequestAudit,
    ) -> Response<RelayBody> {
        let mut log = AttemptLog::default();
        let left = job.deadline.saturating_sub(self.now());
        let ended = match timeout(left, self.run(&job, &mut log, None)).await {
            Ok(ended) => ended,
            Err(_) => Ended::Refused(late(&log)),
        };
        audit.attempts.append(&mut log.notes);
        match ended {
            Ended::Whole(head, body) => self.pass_on(head, whole(body)),
            Ended::Stream(begun, mut log) => {
                audit.attempts.append(&mut log.notes);
                let took = self.now().saturating_sub(job.began);
                self.metrics.record_first_token(took.as_secs_f64());
                self.stream(job, *begun, log)
            }
            Ended::Refused(refusal) => self.refuse(&refusal, audit),
        }
    }

    pub(super) fn pass_on(
        &self,
        mut head: http::response::Parts,
        body: RelayBody,
    ) -> Response<RelayBody> {
        strip_connection_headers(&mut head.headers);
        head.version = http::Version::HTTP_11;
        head.extensions.clear();
        Response::from_parts(head, body)
    }

    fn refuse(&self, refusal: &Refusal, audit: &mut RequestAudit) -> Response<RelayBody> {
        self.metrics.count_refusal(refusal.kind.row().code);
        audit.reason = refusal.detail.clone();
        let body = Bytes::from(refusal_json(refusal).to_string());
        let mut response = Response::new(whole(body));
        let status = http::StatusCode::from_u16(refusal.kind.row().status);
        *response.status_mut() = status.unwrap_or(http::StatusCode::BAD_GATEWAY);
        if let Some(after) = refusal.retry_after {
            self.dialect
                .write_retry_after(after, response.headers_mut());
        }
        response
    }
}
