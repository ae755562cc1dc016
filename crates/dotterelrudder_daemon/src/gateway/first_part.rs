//! Waits for the first part of a runner's answer.

use super::attempt::attempt;
use super::attempt::Fault;
use super::attempt::Outgoing;
use super::bodies::is_framed;
use super::bodies::keep_alive;
use super::bodies::UNFRAMED;
use super::serving::Serving;
use super::upstream::Upstream;
use bytes::Bytes;
use dotterelrudder_gateway::BackendRequest;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::Placement;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a connection may take to become free behind a whole answer.
const FREE_LIMIT: Duration = Duration::from_millis(250);

/// An answer that has its first part.
pub(super) enum FirstPart {
    Whole(http::response::Parts, Bytes, Upstream),
    Begun(http::response::Parts, Option<Bytes>, Incoming, Upstream),
}

impl<D> Serving<D>
where
    D: Dialect,
{
    /// Waits for the whole answer, or for the first part of a stream.
    pub(super) async fn first_part(
        &self,
        outgoing: &Outgoing<'_>,
        placement: &Placement,
        call: &BackendRequest,
        limit: Duration,
        now: Duration,
        stream: bool,
    ) -> Result<FirstPart, Fault> {
        let answered = attempt(
            &self.dialect,
            &self.pool,
            outgoing,
            placement,
            call,
            limit,
            now,
        );
        let (head, mut body, mut upstream) = answered.await?;
        upstream.keep_alive = keep_alive(&head.headers);
        if !(stream && head.status.is_success()) {
            if !body.is_end_stream() && !is_framed(&head.headers) {
                return Err(Fault::lost(UNFRAMED));
            }
            let bytes = self.gathering.read(body, &self.answer_limits).await;
            let bytes = bytes.map_err(Fault::lost)?;
            return Ok(FirstPart::Whole(head, bytes, upstream));
        }
        loop {
            match body.frame().await {
                None => return Err(Fault::lost("the stream has no event")),
                Some(Err(e)) => return Err(Fault::lost(e.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(part) = frame.into_data() {
                        return Ok(FirstPart::Begun(head, Some(part), body, upstream));
                    }
                }
            }
        }
    }

    /// Keeps a connection once its answer is off it.
    pub(super) fn keep(self: &Arc<Self>, mut upstream: Upstream) {
        if upstream.is_usable() {
            self.pool.give_back(upstream, self.now());
            return;
        }
        let serving = self.clone();
        tokio::spawn(async move {
            let free = timeout(FREE_LIMIT, upstream.is_free()).await;
            if free == Ok(true) {
                serving.pool.give_back(upstream, serving.now());
            }
        });
    }
}
