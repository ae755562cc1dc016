//! The socket of a connection to a backend server.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::head_limit::HeadLimit;

/// The check is not due: bytes may have been written since it was armed.
const PASSED: u8 = 0;
/// The next write looks for unread bytes first. Nothing was written yet.
const DUE: u8 = 1;
/// Nothing was written, and nothing will be: there were unread bytes, the first write failed, or the
/// request was withdrawn.
const FAILED: u8 = 2;

/// Controls the check of an [`UpstreamSocket`] for unread bytes; clones share it.
#[derive(Debug, Clone, Default)]
pub struct UnreadCheck {
    state: Arc<AtomicU8>,
}

impl UnreadCheck {
    /// Makes the socket check for unread bytes before its next write.
    pub fn arm(&self) {
        self.state.store(DUE, Ordering::Release);
    }

    /// Returns whether the socket wrote nothing since the check was armed, and never will.
    pub fn has_failed(&self) -> bool {
        self.state.load(Ordering::Acquire) == FAILED
    }

    /// Keeps the socket from writing if it has not written anything since the check was armed.
    /// Returns whether nothing was written.
    pub fn withdraw(&self) -> bool {
        let withdrawn =
            self.state
                .compare_exchange(DUE, FAILED, Ordering::AcqRel, Ordering::Acquire);
        matches!(withdrawn, Ok(_) | Err(FAILED))
    }
}

/// How far the bytes that were given to a socket were written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteState {
    /// All of them.
    Flushed,
    /// Some are still to be written.
    Unflushed,
    /// A write failed. The system reports the error of a socket once, so that a later read would see
    /// the end of the stream in order.
    Failed(io::ErrorKind),
}

/// A TCP stream to a backend server that writes no request while bytes wait to be read, and that ends
/// in order only behind a request that was written whole.
///
/// Bytes that wait were sent before the request, so they cannot be its response; the HTTP library only
/// notices them once the runtime has polled the socket. A response without a length that ends before
/// its request was written may be a part of one.
/// See [docs/design/platform.md](../../../../docs/design/platform.md).
#[derive(Debug)]
pub struct UpstreamSocket {
    tcp: TcpStream,
    check: UnreadCheck,
    head_limit: HeadLimit,
    write_state: WriteState,
}

impl UpstreamSocket {
    /// Wraps a connected stream.
    pub fn new(tcp: TcpStream, check: UnreadCheck, head_limit: HeadLimit) -> Self {
        Self {
            tcp,
            check,
            head_limit,
            write_state: WriteState::Flushed,
        }
    }

    /// Runs the check if it is due, and returns whether it was.
    ///
    /// # Errors
    ///
    /// Returns an error if bytes or the end of the stream wait to be read, or if the check failed
    /// before.
    fn check_unread(&self) -> io::Result<bool> {
        let state = &self.check.state;
        match state.compare_exchange(DUE, PASSED, Ordering::AcqRel, Ordering::Acquire) {
            Ok(_) => {}
            Err(FAILED) => return Err(io::ErrorKind::ConnectionAborted.into()),
            Err(_) => return Ok(false),
        }
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.tcp).peek(&mut byte) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(true),
            Ok(_) | Err(_) => {
                state.store(FAILED, Ordering::Release);
                let detail = "the connection holds unread bytes or was closed";
                Err(io::Error::new(io::ErrorKind::ConnectionAborted, detail))
            }
        }
    }

    /// Returns why the end of the stream isn't the end of a response, if it is not.
    fn early_end(&self) -> io::Result<()> {
        // Behind the end of its bytes, a peer may still have reset the connection.
        let error = self.tcp.take_error()?.map(|e| e.kind());
        let kind = match self.write_state {
            WriteState::Failed(kind) => Some(kind),
            WriteState::Unflushed => Some(error.unwrap_or(io::ErrorKind::ConnectionAborted)),
            WriteState::Flushed => error,
        };
        let detail = "the connection ended before the request was written";
        kind.map_or(Ok(()), |kind| Err(io::Error::new(kind, detail)))
    }

    fn record_write(&mut self, written: &Poll<io::Result<usize>>) {
        self.write_state = match written {
            Poll::Ready(Err(e)) => WriteState::Failed(e.kind()),
            Poll::Ready(Ok(_)) | Poll::Pending => WriteState::Unflushed,
        };
    }

    /// Records the result of the first write since the check was armed. A write that fails or has to
    /// wait has written nothing.
    fn record_first_write(&self, written: &Poll<io::Result<usize>>) {
        let state = match written {
            Poll::Ready(Ok(_)) => return,
            Poll::Ready(Err(_)) => FAILED,
            Poll::Pending => DUE,
        };
        self.check.state.store(state, Ordering::Release);
    }
}

impl AsyncRead for UpstreamSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.tcp).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        self.head_limit.record(read)?;
        if read == 0 && buf.remaining() > 0 {
            self.early_end()?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for UpstreamSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let is_first = self.check_unread()?;
        let written = Pin::new(&mut self.tcp).poll_write(cx, buf);
        self.record_write(&written);
        if is_first {
            self.record_first_write(&written);
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let is_first = self.check_unread()?;
        let written = Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        if is_first {
            self.record_first_write(&written);
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.tcp).poll_flush(cx))?;
        if self.write_state == WriteState::Unflushed {
            self.write_state = WriteState::Flushed;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
