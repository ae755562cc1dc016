//! One attempt at one runner, up to the head of its answer.

use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_gateway::BackendRequest;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::RunOutcome;
use http::header::CONTENT_LENGTH;
use http::Request;
use http::Version;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::connection_pool::ConnectionPool;
use super::upstream::SendError;
use super::upstream::UpstreamConnection;

/// How far a request got that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// Nothing reached the runner.
    NotSent,
    /// The runner says that it didn't run the request.
    Declined,
    /// The request may have run and its answer is lost.
    AnswerLost,
    /// As [`Self::AnswerLost`], and a repeat was taken out of the budget before the attempt was given up.
    RetryReserved,
}

/// Why an attempt brought no answer.
#[derive(Debug)]
pub(super) struct AttemptFailure {
    /// How far the request got.
    pub(super) kind: FailureKind,
    /// What that says about the runner.
    pub(super) outcome: RunOutcome,
    /// How long the runner asks to be sent nothing.
    pub(super) requested_backoff: Option<Duration>,
    /// Why.
    pub(super) reason: String,
}

impl AttemptFailure {
    /// Builds the fault of a request that may have run.
    pub(super) fn answer_lost<S>(reason: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            kind: FailureKind::AnswerLost,
            outcome: RunOutcome::Failed,
            requested_backoff: None,
            reason: reason.into(),
        }
    }

    /// Builds the fault of a request that is given up while its runner is silent.
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

/// The head and the unread body of an answer, with its connection.
pub(super) type AnswerHead = (http::response::Parts, Incoming, UpstreamConnection);

/// The request as it is sent on.
#[derive(Debug)]
pub(super) struct OutgoingRequest<'a> {
    /// The head of the caller's request.
    pub(super) head: &'a http::request::Parts,
    /// Its whole body.
    pub(super) body: &'a Bytes,
    /// The identity of the caller's attempt.
    pub(super) id: &'a str,
    /// Whether the request may be repeated.
    pub(super) may_repeat: bool,
}

/// Sends a request to the chosen runner. `head_limit` bounds the wait for the answer's head.
pub(super) async fn send_attempt<D>(
    dialect: &D,
    pool: &ConnectionPool,
    outgoing: &OutgoingRequest<'_>,
    placement: &Placement,
    backend_request: &BackendRequest,
    head_limit: Duration,
    now: Duration,
) -> Result<AnswerHead, AttemptFailure>
where
    D: Dialect,
{
    let address = placement.address;
    let pooled = pool.take(address, outgoing.may_repeat, now);
    let was_pooled = pooled.is_some();
    let mut upstream = match pooled {
        Some(upstream) => upstream,
        None => match pool.connect(address).await {
            Ok(upstream) => upstream,
            Err(reason) => return Err(unreachable(pool, placement, reason)),
        },
    };
    let req = build_request(dialect, outgoing, backend_request);
    let mut sent = timeout(head_limit, upstream.send(req)).await;
    if was_pooled && matches!(sent, Ok(Err(SendError::NotSent))) {
        // The server closed the kept connection before the request was written.
        upstream = match pool.connect(address).await {
            Ok(upstream) => upstream,
            Err(reason) => return Err(unreachable(pool, placement, reason)),
        };
        let req = build_request(dialect, outgoing, backend_request);
        sent = timeout(head_limit, upstream.send(req)).await;
    }
    match sent {
        Ok(Ok(response)) => {
            let (head, body) = response.into_parts();
            match check_answer_head(dialect, outgoing.id, placement, &head) {
                Some(failure) => Err(failure),
                None => Ok((head, body, upstream)),
            }
        }
        Ok(Err(SendError::NotSent)) => Err(AttemptFailure {
            kind: FailureKind::NotSent,
            outcome: RunOutcome::Failed,
            requested_backoff: None,
            reason: "closed before the request was sent".into(),
        }),
        Ok(Err(SendError::Broken(reason))) => {
            pool.close_idle(address);
            Err(AttemptFailure::answer_lost(reason))
        }
        Err(_) => Err(AttemptFailure::answer_lost(format!(
            "no answer within {} ms",
            head_limit.as_millis()
        ))),
    }
}

fn unreachable(pool: &ConnectionPool, placement: &Placement, reason: String) -> AttemptFailure {
    pool.close_idle(placement.address);
    AttemptFailure {
        kind: FailureKind::NotSent,
        outcome: RunOutcome::Unreachable,
        requested_backoff: None,
        reason,
    }
}

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

/// Returns why an answer isn't the one that was asked for, by its head.
fn check_answer_head<D>(
    dialect: &D,
    id: &str,
    placement: &Placement,
    head: &http::response::Parts,
) -> Option<AttemptFailure>
where
    D: Dialect,
{
    let facts = dialect.read_answer(head);
    let status = head.status.as_u16();
    let other_request = facts.request_id.as_deref().is_some_and(|r| r != id);
    let other_server = facts
        .identity
        .as_ref()
        .is_some_and(|i| *i != placement.identity);
    if other_request {
        return Some(AttemptFailure::answer_lost(
            "the answer belongs to another request",
        ));
    }
    let declined = |outcome, reason: String| {
        Some(AttemptFailure {
            kind: FailureKind::Declined,
            outcome,
            requested_backoff: facts.requested_backoff,
            reason,
        })
    };
    if status == 421 {
        let reason = if other_server {
            "another server has the address"
        } else {
            "the runner serves other weights"
        };
        return declined(RunOutcome::Misdirected, reason.into());
    }
    if facts.not_run {
        return declined(RunOutcome::Shed, format!("not run, status {status}"));
    }
    // An answer that names no request may be a late copy of an earlier one's.
    if !facts.signed || facts.encoded || facts.request_id.is_none() {
        return Some(AttemptFailure::answer_lost(format!(
            "unsigned answer with status {status}"
        )));
    }
    None
}
