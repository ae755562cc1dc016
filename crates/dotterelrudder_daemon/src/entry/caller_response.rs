//! Turns the response events of the entry core into HTTP responses, streamed or collected.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use dotterelrudder_route::AnswerEvent;
use dotterelrudder_route::Input;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use http::header::HeaderValue;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use ractor::ActorRef;
use tokio::sync::mpsc::UnboundedReceiver;

use super::actor::EntryMessage;
use super::openai_format;
use super::openai_format::Endpoint;
use crate::http_server::answer;
use crate::http_server::refusal_answer;
use crate::http_server::AnswerBody;

/// The events of one response. Dropping it before the last event reports to the core that the
/// caller disconnected.
pub(super) struct ResponseEvents {
    pub(super) id: u64,
    pub(super) events_rx: UnboundedReceiver<AnswerEvent>,
    pub(super) actor: ActorRef<EntryMessage>,
    pub(super) ended: bool,
}

impl ResponseEvents {
    /// Records whether `event` is the last one. A closed channel counts as a refusal with
    /// an unknown outcome.
    fn record_end(&mut self, event: Option<AnswerEvent>) -> AnswerEvent {
        let event = event.unwrap_or_else(|| {
            let detail = "the entry stopped before the request ended";
            AnswerEvent::Refused(Refusal::new(ErrorKind::OutcomeUnknown, detail))
        });
        self.ended = matches!(event, AnswerEvent::Finished(_) | AnswerEvent::Refused(_));
        event
    }

    /// Waits for the next event.
    pub(super) async fn next(&mut self) -> AnswerEvent {
        let event = self.events_rx.recv().await;
        self.record_end(event)
    }
}

impl Drop for ResponseEvents {
    fn drop(&mut self) {
        if !self.ended {
            let gone = EntryMessage::Input(Input::CallerGone { id: self.id });
            let _stopped = self.actor.send_message(gone).is_err();
        }
    }
}

/// The fields that every event or body of a completion response repeats.
#[derive(Clone)]
pub(super) struct CompletionFormat {
    pub(super) endpoint: Endpoint,
    pub(super) id: String,
    pub(super) model: String,
}

/// The body of a streamed response.
struct StreamedBody {
    events: ResponseEvents,
    /// The format of the events; without one, chunks are passed through unchanged.
    format: Option<CompletionFormat>,
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        if this.events.ended {
            return Poll::Ready(None);
        }
        let event = std::task::ready!(this.events.events_rx.poll_recv(cx));
        let event = this.events.record_end(event);
        let data = match (&this.format, event) {
            (_, AnswerEvent::Started { .. }) => Bytes::new(),
            (None, AnswerEvent::Chunk(data)) => data,
            (Some(format), AnswerEvent::Chunk(data)) => {
                let text = String::from_utf8_lossy(&data);
                openai_format::stream_chunk(format.endpoint, &format.id, &format.model, &text)
            }
            (Some(format), AnswerEvent::Finished(usage)) => {
                openai_format::stream_end(&format.id, &format.model, usage)
            }
            (Some(_), AnswerEvent::Refused(refusal)) => openai_format::stream_error(&refusal),
            (None, _) => return Poll::Ready(None),
        };
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

/// Waits for the start of a response and returns its weight version, status and media type; returns
/// the error response if the request is refused.
async fn wait_for_start(
    events: &mut ResponseEvents,
) -> Result<(String, u16, String), Response<AnswerBody>> {
    loop {
        match events.next().await {
            AnswerEvent::Started {
                version,
                status,
                content_type,
            } => {
                return Ok((version.to_string(), status, content_type.to_string()));
            }
            AnswerEvent::Refused(refusal) => return Err(refusal_answer(&refusal)),
            AnswerEvent::Chunk(_) | AnswerEvent::Finished(_) => {}
        }
    }
}

/// Builds the response to a completion, streamed or as one JSON body.
pub(super) async fn completion_response(
    mut events: ResponseEvents,
    format: CompletionFormat,
    stream: bool,
) -> Response<AnswerBody> {
    let version = match wait_for_start(&mut events).await {
        Ok((version, ..)) => version,
        Err(refused) => return refused,
    };
    let mut response = if stream {
        let body = StreamedBody {
            events,
            format: Some(format),
        }
        .boxed();
        let mut response = answer(200, "text/event-stream", "");
        *response.body_mut() = body;
        response
    } else {
        match collect_body(&mut events).await {
            Ok((text, usage)) => {
                let text = String::from_utf8_lossy(&text);
                let body = openai_format::complete_response(
                    format.endpoint,
                    &format.id,
                    &format.model,
                    &text,
                    usage,
                );
                answer(200, "application/json", body)
            }
            Err(refusal) => return refusal_answer(&refusal),
        }
    };
    if let Ok(value) = HeaderValue::from_str(&version) {
        response.headers_mut().insert("x-weight-version", value);
    }
    response
}

/// Collects the whole body of a response.
async fn collect_body(
    events: &mut ResponseEvents,
) -> Result<(Vec<u8>, dotterelrudder_wire::Usage), Refusal> {
    let mut text = Vec::new();
    loop {
        match events.next().await {
            AnswerEvent::Chunk(data) => text.extend_from_slice(&data),
            AnswerEvent::Finished(usage) => return Ok((text, usage)),
            AnswerEvent::Refused(refusal) => return Err(refusal),
            AnswerEvent::Started { .. } => {}
        }
    }
}

/// Builds the response to a call of a plain service from the service's own response. A
/// response that ends incomplete is replaced by an error.
pub(super) async fn service_response(mut events: ResponseEvents) -> Response<AnswerBody> {
    let (status, content_type) = match wait_for_start(&mut events).await {
        Ok((_, status, content_type)) => (status, content_type),
        Err(refused) => return refused,
    };
    match collect_body(&mut events).await {
        Ok((body, _)) => answer(status, &content_type, body),
        Err(refusal) => refusal_answer(&refusal),
    }
}
