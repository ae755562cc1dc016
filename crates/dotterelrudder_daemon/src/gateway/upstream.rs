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

/// How long connecting may take, a second packet included when the first one is lost.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How often connecting is tried, against lost packets.
const CONNECT_ATTEMPTS: usize = 2;
/// How long sent bytes may stay unacknowledged before the connection counts as silent; three
/// retransmissions within a region.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The idle time before a kept connection is probed, and between probes.
const KEEPALIVE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Ends a task when it is dropped, and with it the connection or the body that the task drives.
#[derive(Debug)]
pub(super) struct AbortOnDrop(pub(super) tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why a request could not be sent, or got no head of an answer.
#[derive(Debug)]
pub(super) enum SendError {
    /// The connection had closed before any byte of the request was written.
    NotSent,
    /// The connection broke after bytes of the request were written.
    Broken(String),
}

/// An open connection. Dropping it closes the socket, which cancels what runs on it.
#[derive(Debug)]
pub(super) struct UpstreamConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    _driver: AbortOnDrop,
    /// The server.
    pub(super) address: SocketAddr,
    /// How long the server says that it keeps the connection open while idle.
    pub(super) keep_alive: Option<Duration>,
}

impl UpstreamConnection {
    /// Connects to a server, which may send heads of `head_bytes` at most.
    ///
    /// # Errors
    ///
    /// Returns why no connection came about.
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
        // A request that is given up must not reach a server that reads it only later.
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
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(head_bytes)
            .handshake(TokioIo::new(tcp))
            .await
            .map_err(|e| e.to_string())?;
        let driver = tokio::spawn(async move {
            // Its error reaches whoever waits for the answer.
            let _ended = connection.await;
        });
        Ok(Self {
            sender,
            _driver: AbortOnDrop(driver),
            address,
            keep_alive: None,
        })
    }

    /// Returns whether a request can be sent now.
    pub(super) fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Waits until the last answer is off the connection; false when it closed instead.
    pub(super) async fn wait_until_idle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns whether bytes of the request can have reached the server.
    pub(super) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Broken(e.error().to_string())),
            },
        }
    }
}
