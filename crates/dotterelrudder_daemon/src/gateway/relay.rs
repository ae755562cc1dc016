//! Bodies on their way from a runner to a caller.

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

use super::upstream::EndOnDrop;

/// Why a body ends early; the connection to the caller is then closed without its end.
#[derive(Debug)]
pub(super) struct BrokenOff(pub(super) &'static str);

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the answer broke off: {}", self.0)
    }
}

impl std::error::Error for BrokenOff {}

/// The body of every answer to a caller.
pub(super) type RelayBody = BoxBody<Bytes, BrokenOff>;

/// Builds a body that is known whole.
pub(super) fn whole(bytes: Bytes) -> RelayBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// A body whose parts come from a task. It ends without its end when the task does so.
#[derive(Debug)]
pub(super) struct FedBody {
    rx: mpsc::Receiver<Result<Bytes, BrokenOff>>,
    _feeder: EndOnDrop,
}

impl FedBody {
    /// Builds a body that `task` feeds through the other end of `rx`.
    pub(super) fn new(
        rx: mpsc::Receiver<Result<Bytes, BrokenOff>>,
        task: tokio::task::JoinHandle<()>,
    ) -> Self {
        Self {
            rx,
            _feeder: EndOnDrop(task),
        }
    }
}

impl hyper::body::Body for FedBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        self.rx
            .poll_recv(cx)
            .map(|next| next.map(|part| part.map(Frame::data)))
    }
}
