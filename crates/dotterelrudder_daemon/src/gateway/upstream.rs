//! One connection to a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::head_limit::HeadLimit;
use super::send_mark::SendMark;
use super::upstream_socket::UnreadCheck;
use super::upstream_socket::UpstreamSocket;

/// The timeout of a connection attempt. It leaves time for one retransmission of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The number of connection attempts after timeouts, in case packets are lost.
const CONNECT_ATTEMPTS: usize = 2;
/// How long sent bytes may stay unacknowledged before the connection is closed (`TCP_USER_TIMEOUT`).
/// A sound server may be silent for a second and go on.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The idle time before the first TCP keep-alive probe, and the interval between probes.
const KEEPALIVE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Aborts a task when dropped, and with it the connection that the task drives.
#[derive(Debug)]
pub(super) struct AbortOnDrop(pub(super) tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why a request could not be sent, or why no response head arrived.
#[derive(Debug)]
pub(super) enum SendError {
    /// The connection closed, or held unread bytes, before any byte of the request was written.
    NotSent,
    /// The connection broke after bytes of the request were written.
    Broken(String),
}

/// An open HTTP/1.1 connection to a backend server. Dropping it closes the socket, which cancels the
/// request in progress.
#[derive(Debug)]
pub(super) struct UpstreamConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    unread_check: UnreadCheck,
    head_limit: HeadLimit,
    _driver: AbortOnDrop,
    /// The address of the server.
    pub(super) address: SocketAddr,
    /// The keep-alive time that the server states for an idle connection.
    pub(super) keep_alive: Option<Duration>,
}

impl UpstreamConnection {
    /// Connects to a server. `head_bytes` is the maximum size of a response head.
    ///
    /// # Errors
    ///
    /// Returns the cause if the connection could not be opened.
    pub(super) async fn connect(address: SocketAddr, head_bytes: usize) -> Result<Self, String> {
        let mut last = String::new();
        for _ in 0..CONNECT_ATTEMPTS {
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                Ok(Ok(tcp)) => return Self::handshake(tcp, address, head_bytes).await,
                Ok(Err(e)) => return Err(e.to_string()),
                Err(_) => last = format!("no connection within {CONNECT_TIMEOUT:?}"),
            }
        }
        Err(last)
    }

    /// Sets the socket options and starts HTTP/1.1 on the connection.
    async fn handshake(
        tcp: TcpStream,
        address: SocketAddr,
        head_bytes: usize,
    ) -> Result<Self, String> {
        tcp.set_nodelay(true).map_err(|e| e.to_string())?;
        let socket = SockRef::from(&tcp);
        socket
            .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
            .map_err(|e| e.to_string())?;
        // Without lingering, the socket is reset on close: a cancelled request must not be delivered
        // to a server that reads it later.
        socket
            .set_linger(Some(Duration::ZERO))
            .map_err(|e| e.to_string())?;
        let probes = socket2::TcpKeepalive::new()
            .with_time(KEEPALIVE_PROBE_INTERVAL)
            .with_interval(KEEPALIVE_PROBE_INTERVAL)
            .with_retries(2);
        socket
            .set_tcp_keepalive(&probes)
            .map_err(|e| e.to_string())?;
        let unread_check = UnreadCheck::default();
        let head_limit = HeadLimit::default();
        let socket = UpstreamSocket::new(tcp, unread_check.clone(), head_limit.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(head_bytes)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(|e| e.to_string())?;
        let driver = tokio::spawn(async move {
            // The request in progress receives the error of the connection.
            let _ended = connection.await;
        });
        Ok(Self {
            sender,
            unread_check,
            head_limit,
            _driver: AbortOnDrop(driver),
            address,
            keep_alive: None,
        })
    }

    /// Returns whether a request can be sent now.
    pub(super) fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Waits until the last response was read completely. Returns false if the connection closed
    /// instead.
    pub(super) async fn wait_until_idle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the response. `mark` tells whether bytes of the
    /// request were written, also if this future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether bytes of the request may have reached the server.
    pub(super) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        mark: &SendMark,
    ) -> Result<Response<Incoming>, SendError> {
        self.unread_check.arm();
        self.head_limit.arm();
        mark.given_to(&self.unread_check);
        match self.sender.try_send_request(req).await {
            Ok(response) => {
                self.head_limit.head_arrived();
                Ok(response)
            }
            Err(_) if self.unread_check.has_failed() => Err(SendError::NotSent),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Broken(e.error().to_string())),
            },
        }
    }
}
