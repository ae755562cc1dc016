//! A response body whose chunks are sent by a task.

use std::future::Future;
use std::pin::Pin;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Why a body ends early. The connection to the caller is then closed without the end of the body.
#[derive(Debug)]
pub struct ResponseAborted(pub &'static str);

impl std::fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the response was aborted: {}", self.0)
    }
}

impl std::error::Error for ResponseAborted {}

/// A body that is complete only if its task returned `Ok`; a task that panics or is cancelled closes
/// its channel too. Dropping the body cancels the task.
#[derive(Debug)]
pub struct TaskBody {
    rx: mpsc::Receiver<Bytes>,
    /// The task, until its result was taken.
    task: Option<JoinHandle<Result<(), ResponseAborted>>>,
}

impl TaskBody {
    /// Builds a body from the chunks that `task` sends to `rx`.
    pub fn new(rx: mpsc::Receiver<Bytes>, task: JoinHandle<Result<(), ResponseAborted>>) -> Self {
        let task = Some(task);
        Self { rx, task }
    }
}

impl Drop for TaskBody {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl Body for TaskBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        if let Some(chunk) = ready!(self.rx.poll_recv(cx)) {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let Some(task) = &mut self.task else {
            return Poll::Ready(None);
        };
        let ended = ready!(Pin::new(task).poll(cx));
        self.task = None;
        Poll::Ready(match ended {
            Ok(Ok(())) => None,
            Ok(Err(aborted)) => Some(Err(aborted)),
            Err(_) => Some(Err(ResponseAborted("its task ended without a result"))),
        })
    }
}
