//! One attempt at one runner, until the head of its response arrived and was checked.

use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_gateway::AnswerLimit;
use dotterelrudder_gateway::BackendAnswerHead;
use dotterelrudder_gateway::BackendRequest;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::RunOutcome;
use dotterelrudder_types::Clock;
use http::header::CONTENT_LENGTH;
use http::Request;
use http::Version;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::connection_pool::ConnectionPool;
use super::request_intake::RequestIntake;
use super::send_mark::SendMark;
use super::upstream::SendError;
use super::upstream::UpstreamConnection;
use crate::system_clock::SystemClock;

/// The statuses of final responses (RFC 9110, section 15). This client requests no other protocol, so
/// that 101 is none.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// How a failed attempt ended, which decides whether the request may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// No byte of the request reached the runner.
    NotSent,
    /// The runner stated that it did not run the request.
    Declined,
    /// The request may have run, and its response is lost or not valid.
    AnswerLost,
    /// As [`Self::AnswerLost`]; the runner closed or reset the connection.
    ConnectionLost,
    /// As [`Self::AnswerLost`]; a retry was taken from the retry budget before the attempt was
    /// cancelled.
    RetryReserved,
}

/// A failed attempt.
#[derive(Debug)]
pub(super) struct AttemptFailure {
    /// How the attempt ended.
    pub(super) kind: FailureKind,
    /// The outcome to record for the runner.
    pub(super) outcome: RunOutcome,
    /// The backoff that the runner requested, if it did not run the request.
    pub(super) requested_backoff: Option<Duration>,
    /// The limit that the runner's response names; none without a valid response.
    pub(super) limit: Option<AnswerLimit>,
    /// Whether the runner stated that it is leaving.
    pub(super) leaving: bool,
    /// The cause, for the log and the refusal.
    pub(super) reason: String,
}

impl AttemptFailure {
    /// Builds the failure of a request that may have run.
    pub(super) fn answer_lost<S>(reason: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            kind: FailureKind::AnswerLost,
            outcome: RunOutcome::Failed,
            requested_backoff: None,
            limit: None,
            leaving: false,
            reason: reason.into(),
        }
    }

    /// Builds the failure of a request whose connection the runner closed or reset.
    pub(super) fn connection_lost<S>(reason: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            kind: FailureKind::ConnectionLost,
            ..Self::answer_lost(reason)
        }
    }

    /// Returns whether the runner may have ended: it refused or closed a connection.
    pub(super) fn shows_lost_runner(&self) -> bool {
        use FailureKind::*;
        matches!(self.kind, NotSent | ConnectionLost) && !self.is_permit_expired()
    }

    /// Returns whether the request wasn't sent since its permit expired, so that the runner may be tried
    /// again.
    pub(super) fn is_permit_expired(&self) -> bool {
        self.kind == FailureKind::NotSent && self.outcome == RunOutcome::Abandoned
    }

    /// Builds the failure of an attempt whose permit expired before the request was sent.
    fn permit_expired() -> Self {
        Self {
            kind: FailureKind::NotSent,
            outcome: RunOutcome::Abandoned,
            ..Self::answer_lost("the permit for a cold runner expired before the request was sent")
        }
    }

    /// Builds the failure of a request for which the connection closed before it was sent.
    fn not_sent() -> Self {
        Self {
            kind: FailureKind::NotSent,
            ..Self::answer_lost("the connection closed before the request was sent")
        }
    }

    /// Returns the failure as one of a request that was not sent, if nothing of it was written.
    pub(super) fn or_not_sent(self, mark: &SendMark) -> Self {
        let is_not_sent = self.kind != FailureKind::Declined && mark.withdraw();
        let kind = if is_not_sent {
            FailureKind::NotSent
        } else {
            self.kind
        };
        Self { kind, ..self }
    }

    /// Builds the failure of an attempt that was cancelled after a retry was taken from the budget.
    pub(super) fn retry_reserved<S>(outcome: RunOutcome, reason: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            kind: FailureKind::RetryReserved,
            outcome,
            ..Self::answer_lost(reason)
        }
    }
}

/// The head and the unread body of a response, with the limit that it names, whether its runner stated
/// that it is leaving, and its connection.
pub(super) type AnswerHead = (
    http::response::Parts,
    AnswerLimit,
    bool,
    Incoming,
    UpstreamConnection,
);

/// The caller's request as it is sent to a runner.
#[derive(Debug)]
pub(super) struct OutgoingRequest<'a> {
    /// The head of the caller's request.
    pub(super) head: &'a http::request::Parts,
    /// The complete body.
    pub(super) body: &'a Bytes,
    /// Counts the memory of the response.
    pub(super) intake: &'a RequestIntake,
    /// The id of the caller's request.
    pub(super) id: &'a str,
    /// Whether the request may be sent again after a failure.
    pub(super) may_repeat: bool,
    /// Tells whether bytes of the request were written.
    pub(super) mark: &'a SendMark,
}

/// Sends a request to the chosen runner, over an idle connection if there is one. `head_limit` is
/// the timeout for the head of the response.
///
/// # Errors
///
/// Returns the failure if no valid head arrived.
pub(super) async fn send_attempt<D>(
    dialect: &D,
    pool: &ConnectionPool,
    outgoing: &OutgoingRequest<'_>,
    placement: &Placement,
    backend_request: &BackendRequest,
    head_limit: Duration,
    clock: &SystemClock,
) -> Result<AnswerHead, AttemptFailure>
where
    D: Dialect,
{
    let address = placement.address;
    let limit = &placement.limit;
    // A closed connection may be the first sign that the runner started again and is cold; a request
    // without a permit must not be sent over a new one.
    let may_reconnect = !limit.warms_up || limit.cold_rate.is_some();
    // The permit is checked right before each write: connecting took time, or this process stood still.
    let is_expired = || limit.send_by.is_some_and(|by| clock.now() >= by);
    let pooled = pool.take(address, outgoing.may_repeat, clock.now());
    let was_pooled = pooled.upstream.is_some();
    let mut upstream = match pooled.upstream {
        Some(upstream) => upstream,
        None if pooled.found_closed && !may_reconnect => return Err(AttemptFailure::not_sent()),
        None => connect(pool, placement, head_limit).await?,
    };
    if is_expired() {
        pool.put_back(upstream, clock.now());
        return Err(AttemptFailure::permit_expired());
    }
    let req = build_request(dialect, outgoing, backend_request);
    let mut sent = timeout(head_limit, upstream.send(req, outgoing.mark)).await;
    if was_pooled && may_reconnect && matches!(sent, Ok(Err(SendError::NotSent))) {
        // The server closed the idle connection, or sent unrequested bytes, before the request was
        // written; sending it over a new connection is not a retry.
        upstream = connect(pool, placement, head_limit).await?;
        if is_expired() {
            pool.put_back(upstream, clock.now());
            return Err(AttemptFailure::permit_expired());
        }
        let req = build_request(dialect, outgoing, backend_request);
        sent = timeout(head_limit, upstream.send(req, outgoing.mark)).await;
    }
    match sent {
        Ok(Ok(response)) => {
            let (head, body) = response.into_parts();
            let facts = dialect.read_answer(&head);
            let leaving = states_leaving(&facts, outgoing.id, placement);
            match check_answer_head(&facts, outgoing.id, placement, &head) {
                Err(failure) => Err(AttemptFailure { leaving, ..failure }),
                Ok(limit) => Ok((head, limit, leaving, body, upstream)),
            }
        }
        Ok(Err(SendError::NotSent)) => Err(AttemptFailure::not_sent()),
        Ok(Err(SendError::Broken(reason))) => {
            pool.close_idle(address);
            Err(AttemptFailure::connection_lost(reason))
        }
        Err(_) => Err(AttemptFailure::answer_lost(format!(
            "no answer within {} ms",
            head_limit.as_millis()
        ))),
    }
}

/// Opens a connection to a runner. `time_left` is the time until the attempt ends; half of it is left
/// for an attempt at another runner.
///
/// # Errors
///
/// Returns the failure if the connection could not be opened in time.
async fn connect(
    pool: &ConnectionPool,
    placement: &Placement,
    time_left: Duration,
) -> Result<UpstreamConnection, AttemptFailure> {
    let limit = time_left / 2;
    match timeout(limit, pool.connect(placement.address)).await {
        Ok(Ok(upstream)) => Ok(upstream),
        Ok(Err(reason)) => Err(unreachable(pool, placement, reason)),
        // A caller with a short deadline must not have the runner ejected as unreachable at once.
        Err(_) => Err(AttemptFailure {
            kind: FailureKind::NotSent,
            ..AttemptFailure::answer_lost(format!("no connection within {} ms", limit.as_millis()))
        }),
    }
}

/// Closes the idle connections to an unreachable runner and builds the failure.
fn unreachable(pool: &ConnectionPool, placement: &Placement, reason: String) -> AttemptFailure {
    pool.close_idle(placement.address);
    AttemptFailure {
        kind: FailureKind::NotSent,
        outcome: RunOutcome::Unreachable,
        requested_backoff: None,
        limit: None,
        leaving: false,
        reason,
    }
}

/// Builds the HTTP request to the runner from the caller's request.
fn build_request<D>(
    dialect: &D,
    outgoing: &OutgoingRequest<'_>,
    backend_request: &BackendRequest,
) -> Request<Full<Bytes>>
where
    D: Dialect,
{
    let mut req = Request::new(Full::new(outgoing.body.clone()));
    *req.method_mut() = outgoing.head.method.clone();
    *req.uri_mut() = outgoing.head.uri.clone();
    *req.version_mut() = Version::HTTP_11;
    *req.headers_mut() = dialect.backend_request_headers(outgoing.head, backend_request);
    if !outgoing.body.is_empty() {
        let length = http::HeaderValue::from(outgoing.body.len());
        req.headers_mut().insert(CONTENT_LENGTH, length);
    }
    req
}

/// Returns whether a response states that the runner it was expected from is leaving. A response of a
/// successor at the same address names another identity; one without an identity counts only if it
/// names this request.
fn states_leaving(facts: &BackendAnswerHead, id: &str, placement: &Placement) -> bool {
    let is_same_runner = match &facts.identity {
        Some(identity) => *identity == placement.identity,
        None => facts.request_id.as_deref() == Some(id),
    };
    facts.leaving && is_same_runner
}

/// Checks that the response belongs to this request and that the request was run. Returns the
/// limit that the head names.
///
/// # Errors
///
/// Returns the failure of the attempt if a check fails.
fn check_answer_head(
    facts: &BackendAnswerHead,
    id: &str,
    placement: &Placement,
    head: &http::response::Parts,
) -> Result<AnswerLimit, AttemptFailure> {
    let status = head.status.as_u16();
    if !FINAL_STATUSES.contains(&status) {
        return Err(AttemptFailure::answer_lost(format!(
            "status {status} ends no response"
        )));
    }
    let other_request = facts.request_id.as_deref().is_some_and(|r| r != id);
    let other_server = facts
        .identity
        .as_ref()
        .is_some_and(|i| *i != placement.identity);
    if other_request {
        return Err(AttemptFailure::answer_lost(
            "the answer names another request id",
        ));
    }
    let is_refusal = status == 421 || facts.not_run;
    if is_refusal && facts.request_id.is_none() {
        // It may repeat the refusal of an earlier request, while this one runs.
        return Err(AttemptFailure::answer_lost(format!(
            "refusal with status {status} without a request id"
        )));
    }
    let declined = |outcome, reason: String| {
        Err(AttemptFailure {
            kind: FailureKind::Declined,
            outcome,
            requested_backoff: facts.requested_backoff,
            limit: (!other_server).then_some(facts.limit),
            leaving: false,
            reason,
        })
    };
    if status == 421 {
        let reason = if other_server {
            "the address belongs to another backend server"
        } else {
            "the runner serves other weights than requested"
        };
        return declined(RunOutcome::Misdirected, reason.into());
    }
    if facts.not_run {
        return declined(RunOutcome::Shed, format!("not run, status {status}"));
    }
    // A response without a request id may be a delayed duplicate of the response to an earlier
    // request.
    if !facts.signed || facts.encoded || facts.request_id.is_none() {
        return Err(AttemptFailure::answer_lost(format!(
            "answer with status {status} is unsigned, encoded or without a request id"
        )));
    }
    Ok(facts.limit)
}
