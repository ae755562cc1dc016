//! Reading of request bodies, and the headers that determine framing and keep-alive of responses.

use bytes::Bytes;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::HeaderMap;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;

/// Reads the body of a caller's request. `max_bytes` limits its size, `max_pause` the time between two
/// chunks.
///
/// # Errors
///
/// Returns a refusal when the body exceeds `max_bytes`, pauses for longer than `max_pause` or is
/// incomplete or malformed.
pub(super) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    max_pause: Duration,
) -> Result<Bytes, Refusal> {
    let mut body = Limited::new(body, max_bytes);
    let mut bytes = bytes::BytesMut::new();
    loop {
        let next = timeout(max_pause, body.frame()).await;
        let next = next.map_err(|_| {
            Refusal::new(
                ErrorKind::SlowSender,
                "the request body paused for too long",
            )
        })?;
        match next {
            None => return Ok(bytes.freeze()),
            Some(Ok(frame)) => {
                if let Ok(chunk) = frame.into_data() {
                    bytes.extend_from_slice(&chunk);
                }
            }
            Some(Err(e)) if e.is::<LengthLimitError>() => {
                let detail = format!("the request body exceeds {max_bytes} bytes");
                return Err(Refusal::new(ErrorKind::TooLarge, detail));
            }
            Some(Err(_)) => {
                return Err(Refusal::new(
                    ErrorKind::BadRequest,
                    "the request body is incomplete or malformed",
                ));
            }
        }
    }
}

/// The reason for which a response without framing does not count as complete.
pub(super) const ENDED_WITH_RUNNER: &str =
    "the answer ended with its connection, and the runner ended with it";

/// Returns whether a response has a content length or chunked encoding, so that a complete response
/// can be distinguished from a truncated one. Any other response ends when its connection closes.
pub(super) fn is_framed(headers: &HeaderMap) -> bool {
    let encoding = headers.get(TRANSFER_ENCODING).map(|v| v.as_bytes());
    let is_chunked = encoding.is_some_and(|e| e.to_ascii_lowercase().ends_with(b"chunked"));
    is_chunked || headers.contains_key(CONTENT_LENGTH)
}

/// Returns the time for which a server keeps an idle connection open, from its `Keep-Alive` header.
pub(super) fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="));
    let seconds: f64 = seconds?.trim().parse().ok()?;
    Some(Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0)))
}
