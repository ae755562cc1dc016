//! Turns the core's answer events into HTTP answers.

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
use super::openai;
use super::openai::Endpoint;
use crate::http_server::answer;
use crate::http_server::refusal_answer;
use crate::http_server::AnswerBody;

/// The events of one answer. Dropping it before the last one tells the core that the caller went
/// away.
pub(super) struct AnswerEvents {
    pub(super) id: u64,
    pub(super) rx: UnboundedReceiver<AnswerEvent>,
    pub(super) actor: ActorRef<EntryMessage>,
    pub(super) ended: bool,
}

impl AnswerEvents {
    fn note(&mut self, event: Option<AnswerEvent>) -> AnswerEvent {
        let event = event.unwrap_or_else(|| {
            let detail = "the entry stopped working on the request";
            AnswerEvent::Refused(Refusal::new(ErrorKind::OutcomeUnknown, detail))
        });
        self.ended = matches!(event, AnswerEvent::Finished(_) | AnswerEvent::Refused(_));
        event
    }

    pub(super) async fn next(&mut self) -> AnswerEvent {
        let event = self.rx.recv().await;
        self.note(event)
    }
}

impl Drop for AnswerEvents {
    fn drop(&mut self) {
        if !self.ended {
            let gone = EntryMessage::Input(Input::CallerGone { id: self.id });
            let _stopped = self.actor.send_message(gone).is_err();
        }
    }
}

/// How the answer of a completion is written.
#[derive(Clone)]
pub(super) struct AnswerForm {
    pub(super) endpoint: Endpoint,
    pub(super) id: String,
    pub(super) model: String,
}

/// The body of a streamed answer.
struct EventStream {
    events: AnswerEvents,
    form: Option<AnswerForm>,
}

impl Body for EventStream {
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
        let event = std::task::ready!(this.events.rx.poll_recv(cx));
        let event = this.events.note(event);
        let data = match (&this.form, event) {
            (_, AnswerEvent::Started { .. }) => Bytes::new(),
            (None, AnswerEvent::Chunk(data)) => data,
            (Some(form), AnswerEvent::Chunk(data)) => {
                let text = String::from_utf8_lossy(&data);
                openai::piece(form.endpoint, &form.id, &form.model, &text)
            }
            (Some(form), AnswerEvent::Finished(usage)) => openai::end(&form.id, &form.model, usage),
            (Some(_), AnswerEvent::Refused(refusal)) => openai::broken(&refusal),
            (None, _) => return Poll::Ready(None),
        };
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

/// Waits for the beginning of an answer; a refusal becomes the answer itself.
async fn head(events: &mut AnswerEvents) -> Result<(String, u16, String), Response<AnswerBody>> {
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

/// Answers a completion, streamed or whole.
pub(super) async fn completion(
    mut events: AnswerEvents,
    form: AnswerForm,
    stream: bool,
) -> Response<AnswerBody> {
    let version = match head(&mut events).await {
        Ok((version, ..)) => version,
        Err(refused) => return refused,
    };
    let mut response = if stream {
        let body = EventStream {
            events,
            form: Some(form),
        }
        .boxed();
        let mut response = answer(200, "text/event-stream", "");
        *response.body_mut() = body;
        response
    } else {
        match collect(&mut events).await {
            Ok((text, usage)) => {
                let text = String::from_utf8_lossy(&text);
                let body = openai::whole(form.endpoint, &form.id, &form.model, &text, usage);
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

async fn collect(
    events: &mut AnswerEvents,
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

/// Answers a call of a plain service with the service's own answer, whole or not at all.
pub(super) async fn call(mut events: AnswerEvents) -> Response<AnswerBody> {
    let (status, content_type) = match head(&mut events).await {
        Ok((_, status, content_type)) => (status, content_type),
        Err(refused) => return refused,
    };
    match collect(&mut events).await {
        Ok((body, _)) => answer(status, &content_type, body),
        Err(refusal) => refusal_answer(&refusal),
    }
}
