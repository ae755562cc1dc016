//! The HTTP interface to callers: parses requests and submits them to the entry core.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_route::Target;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use http::header::HeaderValue;
use http::HeaderMap;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use ractor::ActorRef;

use super::actor::EntryMessage;
use super::actor::NewRequest;
use super::caller_response;
use super::caller_response::CompletionFormat;
use super::caller_response::ResponseEvents;
use super::openai_format;
use super::openai_format::Endpoint;
use crate::http_server::read_body;
use crate::http_server::refusal_answer;
use crate::http_server::AnswerBody;

/// The time limit of a request without an `x-time-limit-ms` header.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(120);
/// The longest time limit of a request, in milliseconds; higher values are capped. Sides remember
/// attempts for longer than this.
const MAX_TIME_LIMIT_MS: u64 = 600_000;
/// The maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Handles the HTTP requests of callers.
#[derive(Clone)]
pub(super) struct RequestHandler {
    pub(super) actor: ActorRef<EntryMessage>,
    /// The id of the next request, unique within this process.
    pub(super) next_id: Arc<AtomicU64>,
    /// Whether a graceful shutdown has begun.
    pub(super) stopping: Arc<AtomicBool>,
}

/// The request headers that the entry evaluates.
struct RequestHeaders {
    /// The bearer key.
    key: Option<CompactString>,
    time_limit: Duration,
    idempotency_key: Option<CompactString>,
}

impl RequestHandler {
    /// Handles one request. During a graceful shutdown the response closes the connection, so that
    /// the caller does not reuse it.
    pub(super) async fn handle(self, req: Request<Incoming>) -> Response<AnswerBody> {
        let stopping = self.stopping.clone();
        let mut response = self.dispatch(req).await;
        if stopping.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(http::header::CONNECTION, close);
        }
        response
    }

    /// Routes a request to a completion endpoint or, for any other path, to a plain service.
    async fn dispatch(self, req: Request<Incoming>) -> Response<AnswerBody> {
        let headers = match parse_headers(req.headers()) {
            Ok(headers) => headers,
            Err(refusal) => return refusal_answer(&refusal),
        };
        let endpoint = match req.uri().path() {
            "/v1/completions" => Some(Endpoint::Completions),
            "/v1/chat/completions" => Some(Endpoint::Chat),
            _ => None,
        };
        match endpoint {
            Some(endpoint) if req.method() == http::Method::POST => {
                self.completion(endpoint, req, headers).await
            }
            Some(_) => {
                let detail = format!(
                    "method {} is not allowed on this path; allowed: POST",
                    req.method()
                );
                refusal_answer(&Refusal::new(ErrorKind::BadRequest, detail))
            }
            None => self.call(req, headers).await,
        }
    }

    async fn completion(
        self,
        endpoint: Endpoint,
        req: Request<Incoming>,
        headers: RequestHeaders,
    ) -> Response<AnswerBody> {
        let body = match read_body(req).await {
            Ok(body) => body,
            Err(refusal) => return refusal_answer(&refusal),
        };
        let parsed = match openai_format::parse_request(endpoint, &body) {
            Ok(parsed) => parsed,
            Err(refusal) => return refusal_answer(&refusal),
        };
        let (model, stream) = (parsed.model.to_string(), parsed.stream);
        let target = Target::Completion {
            model: parsed.model,
            prompt: parsed.prompt,
            max_tokens: parsed.max_tokens,
        };
        let events = self.submit(target, headers);
        let response_format = CompletionFormat {
            endpoint,
            id: format!("cmpl-{}", events.id),
            model,
        };
        caller_response::completion_response(events, response_format, stream).await
    }

    async fn call(self, req: Request<Incoming>, headers: RequestHeaders) -> Response<AnswerBody> {
        let method = CompactString::from(req.method().as_str());
        let path = req
            .uri()
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .into();
        let content_type = header_text(req.headers(), "content-type").unwrap_or_default();
        let body = match read_body(req).await {
            Ok(body) => body,
            Err(refusal) => return refusal_answer(&refusal),
        };
        let target = Target::Call {
            method,
            path,
            content_type,
            body,
        };
        caller_response::service_response(self.submit(target, headers)).await
    }

    /// Sends a request to the entry actor and returns the events of its response.
    fn submit(self, target: Target, headers: RequestHeaders) -> ResponseEvents {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (events_tx, events_rx) = tokio::sync::mpsc::unbounded_channel();
        let RequestHeaders {
            key,
            time_limit,
            idempotency_key,
        } = headers;
        let req = NewRequest {
            id,
            key,
            target,
            time_limit,
            idempotency_key,
            events_tx,
        };
        // If the actor has stopped, the closed channel yields a refusal.
        let _stopped = self
            .actor
            .send_message(EntryMessage::Request(Box::new(req)))
            .is_err();
        ResponseEvents {
            id,
            events_rx,
            actor: self.actor,
            ended: false,
        }
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<CompactString> {
    headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .map(CompactString::from)
}

fn parse_headers(headers: &HeaderMap) -> Result<RequestHeaders, Refusal> {
    let key = header_text(headers, "authorization")
        .and_then(|value| value.strip_prefix("Bearer ").map(CompactString::from));
    let time_limit = match header_text(headers, "x-time-limit-ms") {
        None => DEFAULT_TIME_LIMIT,
        Some(text) => match text.parse::<u64>() {
            Ok(ms) => Duration::from_millis(ms.min(MAX_TIME_LIMIT_MS)),
            Err(_) => {
                let detail = format!("x-time-limit-ms can't be \"{text}\"; allowed: milliseconds");
                return Err(Refusal::new(ErrorKind::BadRequest, detail));
            }
        },
    };
    let idempotency_key = header_text(headers, "idempotency-key");
    if idempotency_key
        .as_ref()
        .is_some_and(|k| k.is_empty() || k.len() > MAX_IDEMPOTENCY_KEY_BYTES)
    {
        let detail =
            format!("idempotency-key must have from 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
        return Err(Refusal::new(ErrorKind::BadRequest, detail));
    }
    Ok(RequestHeaders {
        key,
        time_limit,
        idempotency_key,
    })
}
