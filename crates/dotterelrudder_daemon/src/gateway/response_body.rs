//! Response bodies to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::upstream::AbortOnDrop;

/// Why a body ends early. The connection to the caller is then closed without the end of the body.
#[derive(Debug)]
pub(super) struct ResponseAborted(pub(super) &'static str);

impl std::fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the response was aborted: {}", self.0)
    }
}

impl std::error::Error for ResponseAborted {}

/// The body of every response to a caller.
pub(super) type ResponseBody = BoxBody<Bytes, ResponseAborted>;

/// Builds a body from complete contents.
pub(super) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// A body whose chunks are sent by a task. An error from the task aborts the body. Dropping the body
/// aborts the task.
#[derive(Debug)]
pub(super) struct ChannelBody {
    rx: mpsc::Receiver<Result<Bytes, ResponseAborted>>,
    _feeder: AbortOnDrop,
}

impl ChannelBody {
    /// Builds a body from the chunks that `task` sends to `rx`.
    pub(super) fn new(
        rx: mpsc::Receiver<Result<Bytes, ResponseAborted>>,
        task: tokio::task::JoinHandle<()>,
    ) -> Self {
        Self {
            rx,
            _feeder: AbortOnDrop(task),
        }
    }
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        self.rx
            .poll_recv(cx)
            .map(|next| next.map(|part| part.map(Frame::data)))
    }
}
