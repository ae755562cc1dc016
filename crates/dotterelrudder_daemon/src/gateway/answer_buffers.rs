//! Gathers answers that are read whole before they are passed on.
//!
//! Load pattern: many backend servers send bodies without end at once. Each is bounded by the limit
//! of one answer, but together they could fill the instance. Beyond a common limit the long ones
//! are broken off, while short answers go on.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::answer_limits::AnswerLimits;

/// An answer up to this length goes on when the common limit is reached.
const SHORT_ANSWER: usize = 64 * 1024;

/// The bytes of all answers that are being gathered.
#[derive(Debug, Default)]
pub(super) struct AnswerBuffers {
    bytes: AtomicUsize,
}

/// The part of one answer, taken back whichever way its gathering ends.
struct BufferShare<'a> {
    all: &'a AnswerBuffers,
    own: usize,
}

impl BufferShare<'_> {
    /// Counts received bytes; returns how many all answers have.
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
    /// Reads an answer whole.
    ///
    /// # Errors
    ///
    /// Returns why the answer isn't whole, or that it is too long.
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
            if share.own > SHORT_ANSWER && total_bytes > max_total_bytes {
                return Err(format!(
                    "all gathered answers exceed {max_total_bytes} bytes"
                ));
            }
            bytes.extend_from_slice(&part);
        }
        Ok(bytes.freeze())
    }
}
