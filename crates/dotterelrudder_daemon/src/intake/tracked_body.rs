//! A response body that tells when its request ended.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::intake_port::RequestGuard;

/// A response body that holds the guard of its request until it was sent or dropped.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    _guard: RequestGuard,
}

impl<B> TrackedBody<B> {
    pub(super) fn new(body: B, guard: RequestGuard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B> Body for TrackedBody<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
