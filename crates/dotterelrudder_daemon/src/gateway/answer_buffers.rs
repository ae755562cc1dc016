//! Buffers responses that are read completely before they are relayed, within a common size limit.
//!
//! Load pattern: many backend servers send endless bodies at the same time. Each body is limited by
//! the size limit of one response, but together they could exhaust the memory of the instance. When
//! the common limit is exceeded, long responses are aborted, while short ones continue.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use super::answer_limits::AnswerLimits;
use crate::intake::ByteLease;
use crate::intake::IntakeBuffer;
use crate::intake::PacedBody;

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
    /// Reads a complete response body. The lease counts its memory until it was sent to the caller.
    ///
    /// # Errors
    ///
    /// Returns the cause if the body is incomplete or exceeds a size limit, or if the memory of the
    /// process is exhausted.
    pub(super) async fn read(
        &self,
        mut body: Incoming,
        limits: &AnswerLimits,
        lease: ByteLease,
    ) -> Result<PacedBody, String> {
        let mut share = BufferShare { all: self, own: 0 };
        let mut bytes = IntakeBuffer::new(lease.clone(), limits.answer.get());
        let announced = body.size_hint().lower();
        if announced <= limits.answer.get() as u64 {
            let reserved = bytes.reserve(announced as usize).await;
            reserved.map_err(|refusal| refusal.detail.to_string())?;
        }
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
            let pushed = bytes.push(&part).await;
            pushed.map_err(|refusal| refusal.detail.to_string())?;
        }
        Ok(PacedBody::new(bytes.freeze(), lease))
    }
}
