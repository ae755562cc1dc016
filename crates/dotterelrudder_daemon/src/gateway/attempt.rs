//! One attempt at one runner, up to the head of its answer.

use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_gateway::AnswerFacts;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::OutboundCall;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::RunOutcome;
use http::header::CONTENT_LENGTH;
use http::Request;
use http::Response;
use http::Version;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::pool::Pool;
use super::upstream::SendFault;
use super::upstream::Upstream;

/// What became of an attempt.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// The runner answered; the body is still to be read.
    Answer {
        /// The head and the unread body.
        response: Box<Response<Incoming>>,
        /// What the head says.
        facts: AnswerFacts,
        /// The connection.
        upstream: Upstream,
    },
    /// Nothing reached the runner.
    NotSent {
        /// What that says about the runner.
        outcome: RunOutcome,
        /// Why.
        reason: String,
    },
    /// The runner says that it didn't run the request.
    Declined {
        /// What that says about the runner.
        outcome: RunOutcome,
        /// Why.
        reason: String,
    },
    /// The request may have run and its answer is lost.
    Lost {
        /// What that says about the runner.
        outcome: RunOutcome,
        /// Why.
        reason: String,
    },
}

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
    call: &OutboundCall,
    head_limit: Duration,
    now: Duration,
) -> AttemptEnd
where
    D: Dialect,
{
    let address = placement.address;
    let kept = pool.take(address, outgoing.may_repeat, now);
    let was_kept = kept.is_some();
    let mut upstream = match kept {
        Some(upstream) => upstream,
        None => match Upstream::connect(address).await {
            Ok(upstream) => upstream,
            Err(reason) => return unreachable(pool, placement, reason),
        },
    };
    let req = build_request(dialect, outgoing, call);
    let mut sent = timeout(head_limit, upstream.send(req)).await;
    if was_kept && matches!(sent, Ok(Err(SendFault::NotSent))) {
        // The server closed the kept connection before the request was written.
        upstream = match Upstream::connect(address).await {
            Ok(upstream) => upstream,
            Err(reason) => return unreachable(pool, placement, reason),
        };
        let req = build_request(dialect, outgoing, call);
        sent = timeout(head_limit, upstream.send(req)).await;
    }
    match sent {
        Ok(Ok(response)) => judge(dialect, outgoing.id, placement, response, upstream),
        Ok(Err(SendFault::NotSent)) => AttemptEnd::NotSent {
            outcome: RunOutcome::Failed,
            reason: "closed before the request was sent".into(),
        },
        Ok(Err(SendFault::Broken(reason))) => {
            pool.forget(address);
            AttemptEnd::Lost {
                outcome: RunOutcome::Failed,
                reason,
            }
        }
        Err(_) => AttemptEnd::Lost {
            outcome: RunOutcome::Failed,
            reason: format!("no answer within {} ms", head_limit.as_millis()),
        },
    }
}

fn unreachable(pool: &Pool, placement: &Placement, reason: String) -> AttemptEnd {
    pool.forget(placement.address);
    AttemptEnd::NotSent {
        outcome: RunOutcome::Unreachable,
        reason,
    }
}

fn build_request<D>(
    dialect: &D,
    outgoing: &Outgoing<'_>,
    call: &OutboundCall,
) -> Request<Full<Bytes>>
where
    D: Dialect,
{
    let mut req = Request::new(Full::new(outgoing.body.clone()));
    *req.method_mut() = outgoing.head.method.clone();
    *req.uri_mut() = outgoing.head.uri.clone();
    *req.version_mut() = Version::HTTP_11;
    *req.headers_mut() = dialect.write_call(outgoing.head, call);
    if !outgoing.body.is_empty() {
        let length = http::HeaderValue::from(outgoing.body.len());
        req.headers_mut().insert(CONTENT_LENGTH, length);
    }
    req
}

/// Decides what the head of an answer means.
fn judge<D>(
    dialect: &D,
    id: &str,
    placement: &Placement,
    response: Response<Incoming>,
    upstream: Upstream,
) -> AttemptEnd
where
    D: Dialect,
{
    let (head, body) = response.into_parts();
    let facts = dialect.read_answer(&head);
    let status = head.status.as_u16();
    let foreign = facts.request_id.as_deref().is_some_and(|r| r != id);
    let other_server = facts
        .identity
        .as_ref()
        .is_some_and(|i| *i != placement.identity);
    if foreign {
        return AttemptEnd::Lost {
            outcome: RunOutcome::Failed,
            reason: "the answer belongs to another request".into(),
        };
    }
    if status == 421 {
        let reason = if other_server {
            "another server has the address"
        } else {
            "the runner serves other weights"
        };
        return AttemptEnd::Declined {
            outcome: RunOutcome::Misdirected,
            reason: reason.into(),
        };
    }
    if facts.not_run {
        return AttemptEnd::Declined {
            outcome: RunOutcome::Shed,
            reason: format!("not run, status {status}"),
        };
    }
    if !facts.signed || facts.encoded {
        return AttemptEnd::Lost {
            outcome: RunOutcome::Failed,
            reason: format!("unsigned answer with status {status}"),
        };
    }
    AttemptEnd::Answer {
        response: Box::new(Response::from_parts(head, body)),
        facts,
        upstream,
    }
}
