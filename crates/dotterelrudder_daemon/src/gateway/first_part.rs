//! Waits for the first part of a runner's answer.

use super::attempt::attempt;
use super::attempt::AttemptEnd;
use super::attempt::Outgoing;
use super::bodies::keep_alive;
use super::bodies::read_answer;
use super::serving::Serving;
use super::upstream::Upstream;
use bytes::Bytes;
use dotterelrudder_gateway::AnswerFacts;
use dotterelrudder_gateway::Dialect;
use dotterelrudder_gateway::OutboundCall;
use dotterelrudder_gateway::Placement;
use dotterelrudder_gateway::RunOutcome;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a connection may take to become free behind a whole answer.
const FREE_LIMIT: Duration = Duration::from_millis(250);

/// The first part of an answer.
pub(super) enum FirstPart {
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

impl<D> Serving<D>
where
    D: Dialect,
{
    /// Waits for the whole answer, or for the first part of a stream.
    pub(super) async fn first_part(
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
