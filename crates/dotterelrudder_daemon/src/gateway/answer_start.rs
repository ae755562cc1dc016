//! Waits for the start of a runner's response: the first chunk of a stream, or the complete response.

use super::attempt::send_attempt;
use super::attempt::AttemptFailure;
use super::attempt::OutgoingRequest;
use super::bodies::is_framed;
use super::bodies::keep_alive;
use super::bodies::ENDED_WITH_RUNNER;
use super::server::EntryServer;
use super::upstream::UpstreamConnection;
use crate::intake::HoldingPhase;
use crate::intake::PacedBody;
use bytes::Bytes;
use dotterelrudder_gateway::BackendRequest;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::Placement;
use dotterelrudder_types::LeavingRunner;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a connection may take to become idle after a complete response.
const IDLE_WAIT_TIMEOUT: Duration = Duration::from_millis(250);

/// A response that has started.
pub(super) enum AnswerStart {
    /// A complete response.
    Complete(http::response::Parts, PacedBody, UpstreamConnection),
    /// The head and the first chunk of a stream, and the rest of its body.
    Stream(
        http::response::Parts,
        Option<Bytes>,
        Incoming,
        UpstreamConnection,
    ),
}

impl<D> EntryServer<D>
where
    D: Dialect,
{
    /// Sends the request and waits for the complete response, or for the first chunk of a stream.
    ///
    /// # Errors
    ///
    /// Returns the failure if the response did not start, or is not complete.
    pub(super) async fn answer_start(
        &self,
        outgoing: &OutgoingRequest<'_>,
        placement: &Placement,
        backend_request: &BackendRequest,
        limit: Duration,
        stream: bool,
    ) -> Result<AnswerStart, AttemptFailure> {
        let answered = send_attempt(
            &self.dialect,
            &self.pool,
            outgoing,
            placement,
            backend_request,
            limit,
            &self.clock,
        );
        let answered = answered.await;
        let (limit, leaving) = match &answered {
            Ok((_, limit, leaving, ..)) => (Some(*limit), *leaving),
            Err(failure) => (failure.limit, failure.leaving),
        };
        if leaving {
            self.record_leaving_runner(placement);
        }
        if let Some(limit) = limit {
            self.record_answer_limit(placement, limit);
        }
        let (head, _, _, mut body, mut upstream) = answered?;
        upstream.keep_alive = keep_alive(&head.headers);
        if !(stream && head.status.is_success()) {
            let is_closed_by_end = !body.is_end_stream() && !is_framed(&head.headers);
            let lease = outgoing.intake.open(HoldingPhase::InProgress);
            let limits = &self.answer_limits;
            let bytes = self.answer_buffers.read(body, limits, lease).await;
            let bytes = bytes.map_err(AttemptFailure::answer_lost)?;
            if is_closed_by_end && !self.is_still_there(placement).await {
                return Err(AttemptFailure::answer_lost(ENDED_WITH_RUNNER));
            }
            return Ok(AnswerStart::Complete(head, bytes, upstream));
        }
        loop {
            match body.frame().await {
                None => {
                    return Err(AttemptFailure::connection_lost(
                        "the stream ended before its first chunk",
                    ))
                }
                Some(Err(e)) => return Err(AttemptFailure::connection_lost(e.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(part) = frame.into_data() {
                        return Ok(AnswerStart::Stream(head, Some(part), body, upstream));
                    }
                }
            }
        }
    }

    /// Records that a runner stated that it is leaving, and reports this to control instances the first
    /// time.
    fn record_leaving_runner(&self, placement: &Placement) {
        let runner = LeavingRunner {
            identity: placement.identity.clone(),
            born_ms: placement.born_ms,
        };
        if !self.gateway().add_leaving_runner(runner.clone()) {
            return;
        }
        slog::info!(self.log, "runner states that it is leaving";
            "runner" => placement.identity.as_str(), "address" => %placement.address,
            "born_ms" => placement.born_ms);
        if let Some(follower) = self.origin_queries.follower.get() {
            follower.report_leaving(vec![runner]);
        }
    }

    /// Returns a connection to the pool once its response has been read completely.
    pub(super) fn return_connection(self: &Arc<Self>, mut upstream: UpstreamConnection) {
        if upstream.is_usable() {
            self.pool.put_back(upstream, self.now());
            return;
        }
        let server = self.clone();
        tokio::spawn(async move {
            let free = timeout(IDLE_WAIT_TIMEOUT, upstream.wait_until_idle()).await;
            if free == Ok(true) {
                server.pool.put_back(upstream, server.now());
            }
        });
    }
}
