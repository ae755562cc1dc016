//! Buffers responses that are read completely before they are relayed, within a common size limit.
//!
//! Load pattern: many backend servers send endless bodies at the same time. Each body is limited by
//! the size limit of one response, but together they could exhaust the memory of the instance. When
//! the common limit is exceeded, long responses are aborted, while short ones continue.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::answer_limits::AnswerLimits;

/// The size up to which a response continues when the common limit is exceeded.
const SHORT_ANSWER_BYTES: usize = 64 * 1024;

/// The total size of all responses that are being buffered.
#[derive(Debug, Default)]
pub(super) struct AnswerBuffers {
    bytes: AtomicUsize,
}

/// The bytes of one buffered response, subtracted from the total when dropped.
struct BufferShare<'a> {
    all: &'a AnswerBuffers,
    own: usize,
}

impl BufferShare<'_> {
    /// Counts received bytes. Returns the total of all buffered responses.
    fn add(&mut self, bytes: usize) -> usize {
        self.own += bytes;
        self.all.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes
    }
}

impl Drop for BufferShare<'_> {
    fn drop(&mut self) {
        self.all.bytes.fetch_sub(self.own, Ordering::Relaxed);
    }
}

impl AnswerBuffers {
    /// Reads a complete response body.
    ///
    /// # Errors
    ///
    /// Returns the cause if the body is incomplete or exceeds a size limit.
    pub(super) async fn read(
        &self,
        mut body: Incoming,
        limits: &AnswerLimits,
    ) -> Result<Bytes, String> {
        let mut share = BufferShare { all: self, own: 0 };
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame.map_err(|e| e.to_string())?.into_data() else {
                continue;
            };
            let total_bytes = share.add(part.len());
            let (most, max_total_bytes) = (limits.answer.get(), limits.gathered.get());
            if share.own > most {
                return Err(format!("the answer exceeds {most} bytes"));
            }
            if share.own > SHORT_ANSWER_BYTES && total_bytes > max_total_bytes {
                return Err(format!(
                    "all buffered answers together exceed {max_total_bytes} bytes"
                ));
            }
            bytes.extend_from_slice(&part);
        }
        Ok(bytes.freeze())
    }
}
