//! A complete response, sent as its caller reads it.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::ByteLease;
use super::HoldingPhase;

/// The size of the parts in which a response is passed to the connection. Each part that the connection
/// takes shows that the caller reads.
const PART_BYTES: usize = 32 * 1024;

/// The body of a complete response whose memory is counted.
#[derive(Debug)]
pub struct PacedBody {
    rest: Bytes,
    lease: ByteLease,
}

impl PacedBody {
    /// Builds a body from complete contents, which hold the lease.
    pub fn new(bytes: Bytes, lease: ByteLease) -> Self {
        Self { rest: bytes, lease }
    }

    /// Records that the response is sent to its caller from now on.
    pub fn answers(&self) {
        self.lease.set_phase(HoldingPhase::Answering);
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        self.lease.progress();
        let size = self.rest.len().min(PART_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(size)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
