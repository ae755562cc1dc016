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

use super::pool::Pool;
use super::upstream::SendFault;
use super::upstream::Upstream;

/// How far a request got that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reach {
    /// Nothing reached the runner.
    NotSent,
    /// The runner says that it didn't run the request.
    Declined,
    /// The request may have run and its answer is lost.
    Lost,
    /// As [`Self::Lost`], and a repeat was taken out of the budget before the attempt was given up.
    Silent,
}

/// Why an attempt brought no answer.
#[derive(Debug)]
pub(super) struct Fault {
    /// How far the request got.
    pub(super) reach: Reach,
    /// What that says about the runner.
    pub(super) outcome: RunOutcome,
    /// How long the runner asks to be sent nothing.
    pub(super) rest: Option<Duration>,
    /// Why.
    pub(super) reason: String,
}

impl Fault {
    /// Builds the fault of a request that may have run.
    pub(super) fn lost<S>(reason: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            reach: Reach::Lost,
            outcome: RunOutcome::Failed,
            rest: None,
            reason: reason.into(),
        }
    }

    /// Builds the fault of a request that is given up while its runner is silent.
    pub(super) fn silent<S>(outcome: RunOutcome, reason: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            reach: Reach::Silent,
            outcome,
            ..Self::lost(reason)
        }
    }
}

/// The head and the unread body of an answer, with its connection.
pub(super) type Answered = (http::response::Parts, Incoming, Upstream);

/// The request as it is sent on.
#[derive(Debug)]
pub(super) struct Outgoing<'a> {
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
pub(super) async fn attempt<D>(
    dialect: &D,
    pool: &Pool,
    outgoing: &Outgoing<'_>,
    placement: &Placement,
    call: &BackendRequest,
    head_limit: Duration,
    now: Duration,
) -> Result<Answered, Fault>
where
    D: Dialect,
{
    let address = placement.address;
    let kept = pool.take(address, outgoing.may_repeat, now);
    let was_kept = kept.is_some();
    let mut upstream = match kept {
        Some(upstream) => upstream,
        None => match pool.connect(address).await {
            Ok(upstream) => upstream,
            Err(reason) => return Err(unreachable(pool, placement, reason)),
        },
    };
    let req = build_request(dialect, outgoing, call);
    let mut sent = timeout(head_limit, upstream.send(req)).await;
    if was_kept && matches!(sent, Ok(Err(SendFault::NotSent))) {
        // The server closed the kept connection before the request was written.
        upstream = match pool.connect(address).await {
            Ok(upstream) => upstream,
            Err(reason) => return Err(unreachable(pool, placement, reason)),
        };
        let req = build_request(dialect, outgoing, call);
        sent = timeout(head_limit, upstream.send(req)).await;
    }
    match sent {
        Ok(Ok(response)) => {
            let (head, body) = response.into_parts();
            match judge(dialect, outgoing.id, placement, &head) {
                Some(fault) => Err(fault),
                None => Ok((head, body, upstream)),
            }
        }
        Ok(Err(SendFault::NotSent)) => Err(Fault {
            reach: Reach::NotSent,
            outcome: RunOutcome::Failed,
            rest: None,
            reason: "closed before the request was sent".into(),
        }),
        Ok(Err(SendFault::Broken(reason))) => {
            pool.forget(address);
            Err(Fault::lost(reason))
        }
        Err(_) => Err(Fault::lost(format!(
            "no answer within {} ms",
            head_limit.as_millis()
        ))),
    }
}

fn unreachable(pool: &Pool, placement: &Placement, reason: String) -> Fault {
    pool.forget(placement.address);
    Fault {
        reach: Reach::NotSent,
        outcome: RunOutcome::Unreachable,
        rest: None,
        reason,
    }
}

fn build_request<D>(
    dialect: &D,
    outgoing: &Outgoing<'_>,
    call: &BackendRequest,
) -> Request<Full<Bytes>>
where
    D: Dialect,
{
    let mut req = Request::new(Full::new(outgoing.body.clone()));
    *req.method_mut() = outgoing.head.method.clone();
    *req.uri_mut() = outgoing.head.uri.clone();
    *req.version_mut() = Version::HTTP_11;
    *req.headers_mut() = dialect.backend_request_headers(outgoing.head, call);
    if !outgoing.body.is_empty() {
        let length = http::HeaderValue::from(outgoing.body.len());
        req.headers_mut().insert(CONTENT_LENGTH, length);
    }
    req
}

/// Returns why an answer isn't the one that was asked for, by its head.
fn judge<D>(
    dialect: &D,
    id: &str,
    placement: &Placement,
    head: &http::response::Parts,
) -> Option<Fault>
where
    D: Dialect,
{
    let facts = dialect.read_answer(head);
    let status = head.status.as_u16();
    let foreign = facts.request_id.as_deref().is_some_and(|r| r != id);
    let other_server = facts
        .identity
        .as_ref()
        .is_some_and(|i| *i != placement.identity);
    if foreign {
        return Some(Fault::lost("the answer belongs to another request"));
    }
    let declined = |outcome, reason: String| {
        Some(Fault {
            reach: Reach::Declined,
            outcome,
            rest: facts.requested_backoff,
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
        return Some(Fault::lost(format!("unsigned answer with status {status}")));
    }
    None
}
