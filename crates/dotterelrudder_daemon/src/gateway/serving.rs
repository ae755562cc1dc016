//! Serves one request of a caller: admission, attempts, answer.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_gateway::Admission;
use dotterelrudder_gateway::AnswerFacts;
use dotterelrudder_gateway::CallerCall;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::EventSplitter;
use dotterelrudder_gateway::Gateway;
use dotterelrudder_gateway::NotPlaced;
use dotterelrudder_gateway::OutboundCall;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::PlacementQuery;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_gateway::RunnerKey;
use dotterelrudder_gateway::WaitingRoom;
use dotterelrudder_types::Clock;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Outcome;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::ServiceName;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::timeout;

use super::attempt::attempt;
use super::attempt::AttemptEnd;
use super::attempt::Outgoing;
use super::audit::RequestAudit;
use super::pool::Pool;
use super::relay::whole;
use super::relay::BrokenOff;
use super::relay::FedBody;
use super::relay::RelayBody;
use super::upstream::Upstream;
use crate::http_server::refusal_json;
use crate::metrics::Metrics;
use crate::system_clock::SystemClock;

/// Bytes of an answer that is read whole before it is passed on.
const MOST_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Parts of a stream that wait for a slow caller before the runner is read no further.
const STREAM_PARTS: usize = 32;
/// Runners that one request is offered to at most, those that could not be reached included.
const MOST_OFFERS: usize = 4;
/// How much of the objective a repeatable request waits for an answer before another runner is
/// asked.
const PATIENCE_OBJECTIVES: f64 = 2.0;
/// Bounds on the wait for an answer before another runner is asked.
const PATIENCE_LEAST: Duration = Duration::from_millis(250);
/// The least time left for which a runner is still asked.
const LEAST_LEFT: Duration = Duration::from_millis(5);
/// How often a waiting request looks for room; loads are told every few tenths of a second, and
/// own requests end in between.
const LOOK_AGAIN: Duration = Duration::from_millis(15);
/// Without a patience of the caller's own.
const PATIENCE_DEFAULT: Duration = Duration::from_secs(60);

/// What serving works with; shared by all requests.
pub(super) struct Serving<D> {
    pub(super) dialect: D,
    pub(super) gateway: Mutex<Gateway>,
    pub(super) room: Mutex<WaitingRoom>,
    pub(super) pool: Pool,
    pub(super) clock: SystemClock,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
    pub(super) leaving: watch::Receiver<bool>,
}

/// A request while it is served.
struct Job {
    head: http::request::Parts,
    body: Bytes,
    call: CallerCall,
    admission: Admission,
    began: Duration,
    deadline: Duration,
}

/// An answer that began.
struct Begun {
    head: http::response::Parts,
    first: Option<Bytes>,
    body: Incoming,
    upstream: Upstream,
    run: RunGuard,
}

/// Counts an attempt as ended, whichever way it ends.
struct RunGuard {
    note: Option<Box<dyn FnOnce(RunOutcome) + Send>>,
}

impl RunGuard {
    fn end(mut self, outcome: RunOutcome) {
        if let Some(note) = self.note.take() {
            note(outcome);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(note) = self.note.take() {
            note(RunOutcome::Abandoned);
        }
    }
}

/// The place of one request in the waiting room; it is left whichever way the wait ends.
struct Place<'a> {
    room: &'a Mutex<WaitingRoom>,
    ticket: Option<u64>,
}

impl Place<'_> {
    fn room(&self) -> MutexGuard<'_, WaitingRoom> {
        self.room.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn may_try(&self, service: &ServiceName, urgency: u8, tokens: u64) -> bool {
        self.room().may_try(self.ticket, service, urgency, tokens)
    }

    fn join(&mut self, service: &ServiceName, urgency: u8, tokens: u64) {
        if self.ticket.is_none() {
            let ticket = self.room().join(service, urgency, tokens);
            self.ticket = Some(ticket);
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.room().leave(ticket);
        }
    }
}

/// How a request ended before an answer began.
enum Ended {
    Whole(http::response::Parts, Bytes),
    Stream(Box<Begun>, AttemptLog),
    Refused(Refusal),
}

/// What was tried for a request.
#[derive(Default)]
struct AttemptLog {
    tried: Vec<RunnerKey>,
    may_have_run: usize,
    notes: Vec<String>,
    /// A runner's own failure, passed on unless another runner does better.
    failed: Option<(http::response::Parts, Bytes)>,
}

impl AttemptLog {
    /// Ends with a runner's own failure, if there is one, and else with the refusal.
    fn last_answer(&mut self, refusal: Refusal) -> Ended {
        match self.failed.take() {
            Some((head, body)) => Ended::Whole(head, body),
            None => Ended::Refused(refusal),
        }
    }
}

impl<D> Serving<D>
where
    D: Dialect,
{
    fn now(&self) -> Duration {
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
        let mut audit = RequestAudit::default();
        let mut response = match self.read(head, body, began, &mut audit).await {
            Ok(job) => self.answer(Arc::new(job), &mut audit).await,
            Err(refusal) => self.refuse(&refusal, &mut audit),
        };
        audit.status = response.status().as_u16();
        audit.took = self.now().saturating_sub(began);
        let age = self.gateway().confirmation_age(self.now());
        audit.write(&self.log, age);
        if *self.leaving.borrow() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    /// Reads the request and decides whether it may be served.
    async fn read(
        &self,
        head: http::request::Parts,
        body: Incoming,
        began: Duration,
        audit: &mut RequestAudit,
    ) -> Result<Job, Refusal> {
        let call = self.dialect.read_call(&head)?;
        audit.id = call.id.clone();
        let (admission, limits) = {
            let mut gateway = self.gateway();
            let admission = gateway.admit(began, &call)?;
            (admission, gateway.configuration().limits.clone())
        };
        audit.route = admission.route.name.clone();
        audit.service = admission.service.0.clone();
        audit.version = admission.version;
        let body = read_body(body, limits.body_bytes, limits.header_time).await?;
        let patience = call.patience.unwrap_or(PATIENCE_DEFAULT);
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

    /// Offers the request to runners until one answers.
    async fn run(
        self: &Arc<Self>,
        job: &Job,
        log: &mut AttemptLog,
        resume_after: Option<&str>,
    ) -> Ended {
        let route = &job.admission.route;
        for _ in 0..MOST_OFFERS {
            let now = self.now();
            let left = job.deadline.saturating_sub(now);
            if left < LEAST_LEFT {
                return Ended::Refused(late(log));
            }
            let query = PlacementQuery {
                service: &job.admission.service,
                prompt: job.call.prompt.as_ref(),
                account: job.admission.account.as_deref(),
                tried: &log.tried,
                objective: route.objective,
                left,
            };
            let placement = match self.find_room(job, &query).await {
                Ok(placement) => placement,
                Err(refusal) => {
                    let refusal = not_placed(refusal, log);
                    return log.last_answer(refusal);
                }
            };
            let left = job.deadline.saturating_sub(self.now());
            log.tried.push(placement.runner);
            let end = self.offer(job, &placement, left, resume_after, log).await;
            let (reason, outcome, ran) = match end {
                OfferEnd::Ended(ended) => return ended,
                OfferEnd::NotSent(reason) => {
                    log.notes.push(note(&placement, &reason));
                    continue;
                }
                OfferEnd::Declined(reason) => (reason, ErrorKind::Overloaded, false),
                OfferEnd::Lost(reason) => (reason, ErrorKind::BackendFailed, true),
            };
            log.notes.push(note(&placement, &reason));
            log.may_have_run += usize::from(ran);
            let most = route.max_runners.max(1) as usize;
            let repeatable = log.may_have_run == 0 || route.kind.may_repeat();
            let allowed = repeatable
                && log.may_have_run < most
                && self
                    .gateway()
                    .may_repeat(self.now(), &job.admission.service);
            if !allowed {
                let refusal = given_up(outcome, reason, log);
                return log.last_answer(refusal);
            }
        }
        let reason = "no runner took the request".to_string();
        Ended::Refused(given_up(ErrorKind::Overloaded, reason, log))
    }

    /// Waits for a runner with room for the request.
    async fn find_room(&self, job: &Job, query: &PlacementQuery<'_>) -> Result<Placement, Refusal> {
        let service = query.service;
        let tokens = query.prompt.map_or(0, |p| p.peak_tokens());
        let urgency = self.gateway().urgency(&job.admission);
        let mut place = Place {
            room: &self.room,
            ticket: None,
        };
        loop {
            if place.may_try(service, urgency, tokens) {
                match self.gateway().place(self.now(), query) {
                    Ok(placement) => return Ok(placement),
                    Err(NotPlaced::Refused(refusal)) => return Err(refusal),
                    Err(NotPlaced::Busy) => {}
                }
            }
            place.join(service, urgency, tokens);
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Offers the request to one runner.
    async fn offer(
        self: &Arc<Self>,
        job: &Job,
        placement: &Placement,
        left: Duration,
        resume_after: Option<&str>,
        log: &mut AttemptLog,
    ) -> OfferEnd {
        let route = &job.admission.route;
        let may_repeat = route.kind.may_repeat();
        let call = self.outbound(job, placement, left, resume_after);
        let outgoing = Outgoing {
            head: &job.head,
            body: &job.body,
            id: &job.call.id,
            may_repeat,
        };
        let more = may_repeat && log.may_have_run + 1 < route.max_runners.max(1) as usize;
        let limit = if more {
            let patience = route.objective.mul_f64(PATIENCE_OBJECTIVES);
            patience.max(PATIENCE_LEAST).min(left)
        } else {
            left
        };
        // Ends before the request's own time does, so that the runner's silence is noted.
        let limit = limit.saturating_sub(LEAST_LEFT);
        let unread = {
            let now = self.now();
            let prompt = job.call.prompt.as_ref();
            self.gateway().sent(now, placement.runner, prompt)
        };
        let run = self.run_guard(placement.runner, unread);
        let now = self.now();
        let began = now;
        let first = self.first_part(
            &outgoing,
            placement,
            &call,
            limit,
            now,
            route.kind.is_stream(),
        );
        let end = match timeout(limit, first).await {
            Ok(end) => end,
            Err(_) => FirstPart::Failed(AttemptEnd::Lost {
                outcome: RunOutcome::Failed,
                reason: format!("no answer within {} ms", limit.as_millis()),
            }),
        };
        let took = self.now().saturating_sub(began);
        match end {
            FirstPart::Failed(AttemptEnd::NotSent { outcome, reason }) => {
                run.end(outcome);
                OfferEnd::NotSent(reason)
            }
            FirstPart::Failed(AttemptEnd::Declined { outcome, reason }) => {
                run.end(outcome);
                OfferEnd::Declined(reason)
            }
            FirstPart::Failed(AttemptEnd::Lost { outcome, reason }) => {
                run.end(outcome);
                OfferEnd::Lost(reason)
            }
            FirstPart::Failed(AttemptEnd::Answer { .. }) => {
                OfferEnd::Lost("the answer was not read".into())
            }
            FirstPart::Whole(head, body, upstream) => {
                run.end(RunOutcome::Answered);
                self.keep(upstream);
                let status = head.status;
                let text = format!("status {} after {} ms", status.as_u16(), took.as_millis());
                if more && status.is_server_error() {
                    log.failed = Some((head, body));
                    return OfferEnd::Lost(text);
                }
                log.notes.push(note(placement, &text));
                OfferEnd::Ended(Ended::Whole(head, body))
            }
            FirstPart::Begun(head, part, body, upstream) => {
                self.gateway().first_part(placement.runner, unread);
                let text = format!("began after {} ms", took.as_millis());
                log.notes.push(note(placement, &text));
                let begun = Begun {
                    head,
                    first: part,
                    body,
                    upstream,
                    run,
                };
                let log = std::mem::take(log);
                OfferEnd::Ended(Ended::Stream(Box::new(begun), log))
            }
        }
    }

    fn outbound(
        &self,
        job: &Job,
        placement: &Placement,
        left: Duration,
        resume_after: Option<&str>,
    ) -> OutboundCall {
        let admission = &job.admission;
        let is_model = job.call.prompt.is_some();
        OutboundCall {
            identity: placement.identity.clone(),
            weights: placement.weights,
            cache_salt: placement.cache_salt.clone(),
            cache: placement.cache.clone(),
            account: admission.account.as_ref().map(|a| a.name.clone()),
            time_left: left,
            urgency: is_model.then(|| self.gateway().urgency(admission)),
            resume_after: resume_after
                .map(Into::into)
                .or_else(|| job.call.resume_after.clone()),
        }
    }

    /// Counts the attempt as ended once the guard ends, whichever way that comes about.
    fn run_guard(self: &Arc<Self>, runner: RunnerKey, unread: f64) -> RunGuard {
        let serving = self.clone();
        RunGuard {
            note: Some(Box::new(move |outcome| {
                let now = serving.now();
                let mut gateway = serving.gateway();
                gateway.first_part(runner, unread);
                gateway.ended(now, runner, outcome);
            })),
        }
    }

    /// Waits for the whole answer, or for the first part of a stream.
    async fn first_part(
        &self,
        outgoing: &Outgoing<'_>,
        placement: &Placement,
        call: &OutboundCall,
        limit: Duration,
        now: Duration,
        stream: bool,
    ) -> FirstPart {
        let end = attempt(
            &self.dialect,
            &self.pool,
            outgoing,
            placement,
            call,
            limit,
            now,
        )
        .await;
        let AttemptEnd::Answer {
            response,
            facts,
            mut upstream,
        } = end
        else {
            return FirstPart::Failed(end);
        };
        let (head, mut body) = response.into_parts();
        upstream.keep_alive = keep_alive(&head.headers);
        if !(stream && head.status.is_success()) {
            return match read_answer(body).await {
                Ok(bytes) => FirstPart::Whole(head, bytes, upstream),
                Err(reason) => lost(&facts, reason),
            };
        }
        loop {
            match body.frame().await {
                None => return lost(&facts, "the stream has no event".into()),
                Some(Err(e)) => return lost(&facts, e.to_string()),
                Some(Ok(frame)) => {
                    if let Ok(part) = frame.into_data() {
                        return FirstPart::Begun(head, Some(part), body, upstream);
                    }
                }
            }
        }
    }

    /// Keeps a connection once its answer is off it.
    fn keep(self: &Arc<Self>, mut upstream: Upstream) {
        if upstream.is_usable() {
            self.pool.give_back(upstream, self.now());
            return;
        }
        let serving = self.clone();
        tokio::spawn(async move {
            let free = timeout(PATIENCE_LEAST, upstream.is_free()).await;
            if free == Ok(true) {
                serving.pool.give_back(upstream, serving.now());
            }
        });
    }

    /// Passes a stream on as it arrives.
    fn stream(
        self: &Arc<Self>,
        job: Arc<Job>,
        mut begun: Begun,
        log: AttemptLog,
    ) -> Response<RelayBody> {
        let (tx, rx) = mpsc::channel(STREAM_PARTS);
        let mut head = begun.head.clone();
        head.headers.remove(CONTENT_LENGTH);
        let serving = self.clone();
        let cut = job.began + job.admission.route.time_limit;
        let task = tokio::spawn(async move {
            let left = cut.saturating_sub(serving.now());
            let first = begun.first.take();
            let feed = async {
                if job.admission.route.kind.may_repeat() {
                    serving.feed_resumable(&job, begun, first, log, &tx).await
                } else {
                    serving.feed_once(begun, first, &tx).await
                }
            };
            let fed = match timeout(left, feed).await {
                Ok(fed) => fed,
                Err(_) => Err(BrokenOff("the time limit of the route passed")),
            };
            if let Err(broken) = fed {
                slog::info!(serving.log, "stream broken off"; "id" => job.call.id.as_str(),
                    "reason" => broken.0);
                // The caller may have left already.
                let _gone = tx.send(Err(broken)).await.is_err();
            }
        });
        self.pass_on(head, FedBody::new(rx, task).boxed())
    }

    /// Feeds a stream that runs once, part by part.
    async fn feed_once(
        self: &Arc<Self>,
        mut begun: Begun,
        first: Option<Bytes>,
        tx: &mpsc::Sender<Result<Bytes, BrokenOff>>,
    ) -> Result<(), BrokenOff> {
        let mut next = first;
        loop {
            if let Some(part) = next.take() {
                if tx.send(Ok(part)).await.is_err() {
                    return Ok(());
                }
            }
            match begun.body.frame().await {
                None => {
                    begun.run.end(RunOutcome::Answered);
                    self.keep(begun.upstream);
                    return Ok(());
                }
                Some(Err(_)) => {
                    begun.run.end(RunOutcome::Failed);
                    return Err(BrokenOff("the runner broke off"));
                }
                Some(Ok(frame)) => next = frame.into_data().ok(),
            }
        }
    }

    /// Feeds a stream by whole events, and goes on at another runner when one breaks off.
    async fn feed_resumable(
        self: &Arc<Self>,
        job: &Arc<Job>,
        mut begun: Begun,
        first: Option<Bytes>,
        mut log: AttemptLog,
        tx: &mpsc::Sender<Result<Bytes, BrokenOff>>,
    ) -> Result<(), BrokenOff> {
        let mut last_event = job.call.resume_after.clone();
        let mut next = first;
        loop {
            let mut splitter = EventSplitter::default();
            let broken = loop {
                if let Some(part) = next.take() {
                    splitter.push(&part);
                    while let Some(event) = splitter.take() {
                        if event.id.is_some() {
                            last_event = event.id;
                        }
                        if tx.send(Ok(event.bytes)).await.is_err() {
                            return Ok(());
                        }
                    }
                }
                match begun.body.frame().await {
                    None => break None,
                    Some(Err(e)) => break Some(e.to_string()),
                    Some(Ok(frame)) => next = frame.into_data().ok(),
                }
            };
            let Some(reason) = broken else {
                begun.run.end(RunOutcome::Answered);
                self.keep(begun.upstream);
                let rest = Bytes::copy_from_slice(splitter.rest());
                if !rest.is_empty() {
                    // The caller may have left already.
                    let _gone = tx.send(Ok(rest)).await.is_err();
                }
                return Ok(());
            };
            begun.run.end(RunOutcome::Failed);
            drop(begun.upstream);
            slog::info!(self.log, "stream goes on elsewhere"; "id" => job.call.id.as_str(),
                "reason" => reason, "after" => last_event.as_deref().unwrap_or(""));
            log.may_have_run += 1;
            let most = job.admission.route.max_runners.max(1) as usize;
            let service = &job.admission.service;
            if log.may_have_run >= most || !self.gateway().may_repeat(self.now(), service) {
                return Err(BrokenOff("the runner broke off"));
            }
            let after = last_event.clone();
            match self.run(job, &mut log, after.as_deref()).await {
                Ended::Stream(more, newer) => {
                    begun = *more;
                    log = newer;
                    next = begun.first.take();
                }
                Ended::Whole(..) | Ended::Refused(_) => {
                    return Err(BrokenOff("no other runner went on"));
                }
            }
        }
    }

    fn pass_on(&self, mut head: http::response::Parts, body: RelayBody) -> Response<RelayBody> {
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

/// What became of the offer to one runner.
enum OfferEnd {
    Ended(Ended),
    NotSent(String),
    Declined(String),
    Lost(String),
}

/// The first part of an answer.
enum FirstPart {
    Failed(AttemptEnd),
    Whole(http::response::Parts, Bytes, Upstream),
    Begun(http::response::Parts, Option<Bytes>, Incoming, Upstream),
}

fn lost(_facts: &AnswerFacts, reason: String) -> FirstPart {
    FirstPart::Failed(AttemptEnd::Lost {
        outcome: RunOutcome::Failed,
        reason,
    })
}

fn note(placement: &Placement, text: &str) -> String {
    let age = placement.load_age.map_or(-1, |a| a.as_millis() as i64);
    format!(
        "{} {} expected {} ms, load {} ms old, {} fetched, {} saved: {}",
        placement.identity,
        placement.address,
        placement.expected.as_millis(),
        age,
        placement.cache.fetch.iter().flatten().count(),
        placement.cache.save.iter().flatten().count(),
        text
    )
}

/// The refusal once the time is up.
fn late(log: &AttemptLog) -> Refusal {
    if log.tried.is_empty() {
        return Refusal::new(
            ErrorKind::Overloaded,
            "the time was up before a runner was asked",
        );
    }
    let detail = "the time was up before an answer came";
    Refusal::new(ErrorKind::DeadlineExceeded, detail).with_outcome(Outcome::Unknown)
}

fn not_placed(refusal: Refusal, log: &AttemptLog) -> Refusal {
    if log.may_have_run == 0 {
        return refusal;
    }
    Refusal::new(ErrorKind::BackendFailed, refusal.detail)
}

fn given_up(kind: ErrorKind, reason: String, log: &AttemptLog) -> Refusal {
    let kind = if log.may_have_run > 0 {
        ErrorKind::BackendFailed
    } else {
        kind
    };
    Refusal::new(kind, reason)
}

/// Reads the body of a caller's request within the limits.
async fn read_body(body: Incoming, most: usize, pause: Duration) -> Result<Bytes, Refusal> {
    let mut body = Limited::new(body, most);
    let mut bytes = bytes::BytesMut::new();
    loop {
        let next = timeout(pause, body.frame()).await;
        let next = next.map_err(|_| Refusal::new(ErrorKind::SlowSender, "the body pauses"))?;
        match next {
            None => return Ok(bytes.freeze()),
            Some(Ok(frame)) => {
                if let Ok(part) = frame.into_data() {
                    bytes.extend_from_slice(&part);
                }
            }
            Some(Err(e)) if e.is::<LengthLimitError>() => {
                let detail = format!("the body exceeds {most} bytes");
                return Err(Refusal::new(ErrorKind::TooLarge, detail));
            }
            Some(Err(_)) => {
                return Err(Refusal::new(ErrorKind::BadRequest, "the body broke off"));
            }
        }
    }
}

async fn read_answer(body: Incoming) -> Result<Bytes, String> {
    let collected = Limited::new(body, MOST_ANSWER_BYTES).collect().await;
    let collected = collected.map_err(|e| e.to_string())?;
    Ok(collected.to_bytes())
}

/// Reads how long a server keeps an idle connection.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="));
    let seconds: f64 = seconds?.trim().parse().ok()?;
    Some(Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0)))
}

/// Removes the headers that concern one connection only.
fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|n| n.trim().to_ascii_lowercase()))
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in ["keep-alive", "proxy-connection", "te", "trailer", "upgrade"] {
        headers.remove(name);
    }
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
}
