//! Reading of request bodies, and the headers that determine framing and keep-alive of responses.

use super::request_intake::RequestIntake;
use crate::intake::HoldingPhase;
use crate::intake::IntakeBuffer;
use bytes::Bytes;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;

/// How long the rest of a request is read that was refused before its end.
const DISCARD_TIME: Duration = Duration::from_secs(4);

/// The body of a caller's request, within limits on its size and on the time between two chunks.
pub(super) struct CallerBody {
    body: Incoming,
    max_bytes: usize,
    max_pause: Duration,
}

impl CallerBody {
    /// Limits a body. `max_bytes` limits its size, `max_pause` the time between two chunks.
    pub(super) fn new(body: Incoming, max_bytes: usize, max_pause: Duration) -> Self {
        Self {
            body,
            max_bytes,
            max_pause,
        }
    }

    /// Reads the complete body. Nothing is read while the byte budget has no room for it.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the body exceeds its size limit, pauses for too long or is incomplete
    /// or malformed, or when the byte budget is exhausted. A body that states a larger size is refused
    /// before it is read.
    pub(super) async fn read(&mut self, intake: &RequestIntake) -> Result<Bytes, Refusal> {
        if self.body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let announced = self.body.size_hint().lower();
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        if announced > self.max_bytes {
            return Err(self.too_large());
        }
        let lease = intake.open(HoldingPhase::Receiving);
        let mut bytes = IntakeBuffer::new(lease.clone(), self.max_bytes);
        bytes.reserve(announced).await?;
        loop {
            let chunk = tokio::select! {
                chunk = self.next_chunk() => chunk?,
                refusal = IntakeBuffer::cut(&lease) => return Err(refusal),
            };
            let Some(chunk) = chunk else {
                return Ok(bytes.freeze());
            };
            if bytes.len() + chunk.len() > self.max_bytes {
                return Err(self.too_large());
            }
            bytes.push(&chunk).await?;
        }
    }

    fn too_large(&self) -> Refusal {
        let detail = format!("the request body exceeds {} bytes", self.max_bytes);
        Refusal::new(ErrorKind::TooLarge, detail)
    }

    /// Reads what is left of the body of a request that was refused. Closing the connection of a
    /// caller that still sends would reset it, and the refusal with it.
    pub(super) fn discard(mut self) {
        if self.body.is_end_stream() {
            return;
        }
        tokio::spawn(async move {
            let rest = async { while let Ok(Some(_)) = self.next_chunk().await {} };
            // The connection is closed when the time is over.
            let _unread = timeout(DISCARD_TIME, rest).await.is_err();
        });
    }

    /// Returns the next chunk; none at the end.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, Refusal> {
        loop {
            let next = timeout(self.max_pause, self.body.frame()).await;
            let next = next.map_err(|_| {
                Refusal::new(
                    ErrorKind::SlowSender,
                    "the request body paused for too long",
                )
            })?;
            match next.transpose() {
                Ok(None) => return Ok(None),
                Ok(Some(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        return Ok(Some(chunk));
                    }
                }
                Err(_) => {
                    return Err(Refusal::new(
                        ErrorKind::BadRequest,
                        "the request body is incomplete or malformed",
                    ));
                }
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

/// The longest time that a server may state for an idle connection, in seconds.
const MAX_KEEP_ALIVE_S: f64 = 3_600.0;

/// Returns the time for which a server keeps an idle connection open, from its `Keep-Alive` header.
pub(super) fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="));
    let seconds: f64 = seconds?.trim().parse().ok()?;
    let seconds = seconds.clamp(0.0, MAX_KEEP_ALIVE_S);
    // A number that is none stays so when it is clamped.
    Duration::try_from_secs_f64(seconds).ok()
}
