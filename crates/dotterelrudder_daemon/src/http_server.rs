//! HTTP servers with limits on time and size and with graceful shutdown, the answers that several
//! servers share, and the admin endpoints.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use http::header::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::combinators::BoxBody;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::metrics::Metrics;

/// Body of an answer; producing it cannot fail.
pub type AnswerBody = BoxBody<Bytes, Infallible>;

/// Time limit for a request's head with [`serve`].
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for a request's body in [`read_body`].
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest head of a request with [`serve`], in bytes.
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// Smallest buffer for a request's head that the HTTP library accepts, in bytes.
const MIN_HEADER_BUFFER_BYTES: usize = 8_192;
/// Largest body of a request that [`read_body`] accepts, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Delay before the next `accept` after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a stopping server still serves input that arrived before the stop: connections that the
/// operating system has accepted, and on each connection a request that is still unread. Closing
/// these at once would reset connections whose callers sent their requests before the stop.
const PENDING_INPUT_GRACE: Duration = Duration::from_millis(50);

/// A handle to wait for the end of a server's connections.
#[derive(Debug)]
pub struct Connections {
    /// Closed when the last sender, held by the accept task and by each connection, is dropped.
    open: mpsc::Receiver<()>,
}

impl Connections {
    /// Waits until the server has stopped accepting and every connection has ended.
    pub async fn closed(mut self) {
        while self.open.recv().await.is_some() {}
    }
}

/// Limits on the heads of the requests on a connection.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Time limit for a head. It also runs while a connection is idle, so it bounds the idle time.
    pub time: Duration,
    /// Largest head in bytes; values under 8,192, the minimum of the HTTP library, are raised to
    /// it.
    pub bytes: usize,
}

/// Serves HTTP until `stop` turns true, then finishes the open requests and closes the connections.
///
/// # Errors
///
/// Returns the operating system's error when it cannot listen on the address.
pub async fn serve<H, F>(
    address: SocketAddr,
    stop: watch::Receiver<bool>,
    handler: H,
) -> Result<Connections, String>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let limits = || HeadLimits {
        time: HEADER_TIMEOUT,
        bytes: MAX_HEADER_BYTES,
    };
    serve_within(address, stop, limits, |_| (), handler).await
}

/// Serves HTTP like [`serve`], with limits that are read anew for each connection;
/// `on_accept_error` receives the operating system's error when accepting fails.
///
/// # Errors
///
/// Returns the operating system's error when it cannot listen on the address.
pub async fn serve_within<L, R, H, F, B>(
    address: SocketAddr,
    stop: watch::Receiver<bool>,
    limits: L,
    on_accept_error: R,
    handler: H,
) -> Result<Connections, String>
where
    L: Fn() -> HeadLimits + Send + 'static,
    R: Fn(std::io::Error) + Send + 'static,
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|e| format!("listen {address}: {e}"))?;
    let handler = Arc::new(handler);
    let (open_guard, open) = mpsc::channel(1);
    let mut stop_received = stop.clone();
    let accepting = async move {
        loop {
            match listener.accept().await {
                Ok((tcp, _)) => {
                    // If this fails, answers are only later by a delayed acknowledgement.
                    let _not_set = tcp.set_nodelay(true).is_err();
                    let io = TokioIo::new(tcp);
                    let (stop, handler, open_guard) =
                        (stop.clone(), handler.clone(), open_guard.clone());
                    let limits = limits();
                    tokio::spawn(async move {
                        serve_connection(io, stop, limits, handler).await;
                        drop(open_guard);
                    });
                }
                Err(e) => {
                    on_accept_error(e);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    };
    tokio::spawn(async move {
        tokio::pin!(accepting);
        tokio::select! {
            () = accepting.as_mut() => {}
            () = wait_for_stop(&mut stop_received) => {}
        }
        let _grace_over = timeout(PENDING_INPUT_GRACE, accepting).await;
    });
    Ok(Connections { open })
}

/// Waits until `stop` turns true, or forever when its sender was dropped before.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Serves one connection until it ends. After a stop it serves input for [`PENDING_INPUT_GRACE`],
/// then finishes the open request and closes the connection.
async fn serve_connection<H, F, B>(
    io: TokioIo<tokio::net::TcpStream>,
    mut stop: watch::Receiver<bool>,
    limits: HeadLimits,
    handler: Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let service = hyper::service::service_fn(move |req| {
        let answer = handler(req);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.time)
        .max_buf_size(limits.bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(io, service);
    tokio::pin!(connection);
    // A broken connection affects only its caller, so its error is ignored.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = wait_for_stop(&mut stop) => {}
    }
    if timeout(PENDING_INPUT_GRACE, connection.as_mut())
        .await
        .is_err()
    {
        connection.as_mut().graceful_shutdown();
        let _ended = connection.await;
    }
}

/// Reads a complete request body within the limits on time and size.
///
/// # Errors
///
/// Returns a refusal when the body exceeds [`MAX_BODY_BYTES`], takes longer than 20 seconds or is
/// incomplete or malformed.
pub async fn read_body(body: Incoming) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, MAX_BODY_BYTES).collect();
    match timeout(BODY_TIMEOUT, limited).await {
        Err(_) => Err(Refusal::new(
            ErrorKind::SlowSender,
            "the request body was not received in time",
        )),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let detail = format!("the request body exceeds {MAX_BODY_BYTES} bytes");
            Err(Refusal::new(ErrorKind::TooLarge, detail))
        }
        Ok(Err(_)) => Err(Refusal::new(
            ErrorKind::BadRequest,
            "the request body is incomplete or malformed",
        )),
    }
}

/// Builds an answer from a status, a media type and a body. An invalid status becomes 502.
pub fn answer<B>(status: u16, content_type: &str, body: B) -> Response<AnswerBody>
where
    B: Into<Bytes>,
{
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, value);
    }
    response
}

/// Builds the JSON error object that describes a refusal.
pub fn refusal_json(refusal: &Refusal) -> serde_json::Value {
    serde_json::json!({"error": {
        "type": "dotterelrudder_error",
        "code": refusal.kind.row().code,
        "outcome": refusal.outcome.as_str(),
        "message": refusal.detail.as_str(),
        "retry_after_s": refusal.retry_after.map(|d| d.as_secs()),
    }})
}

/// Builds the answer for a refusal, with a Retry-After header if the refusal requests a backoff.
pub fn refusal_answer(refusal: &Refusal) -> Response<AnswerBody> {
    let body = refusal_json(refusal).to_string();
    let mut response = answer(refusal.kind.row().status, "application/json", body);
    if let Some(after) = refusal.retry_after {
        let value = HeaderValue::from(after.as_secs());
        response
            .headers_mut()
            .insert(http::header::RETRY_AFTER, value);
    }
    response
}

/// Serves `/healthz`, `/readyz` and `/metrics` until the process ends; `/readyz` answers 200 while
/// `is_ready` returns true, else 503.
///
/// # Errors
///
/// Returns the operating system's error when it cannot listen on the address.
pub async fn serve_admin<R>(
    address: SocketAddr,
    metrics: Metrics,
    is_ready: R,
) -> Result<(), String>
where
    R: Fn() -> bool + Send + Sync + 'static,
{
    let (_, stop) = watch::channel(false);
    let is_ready = Arc::new(is_ready);
    serve(address, stop, move |req| {
        let (metrics, ready) = (metrics.clone(), is_ready());
        async move {
            match req.uri().path() {
                "/healthz" => answer(200, "text/plain", "ok\n"),
                "/readyz" if ready => answer(200, "text/plain", "ready\n"),
                "/readyz" => answer(503, "text/plain", "not ready\n"),
                "/metrics" => answer(200, "text/plain; version=0.0.4", metrics.render()),
                path => {
                    let detail = format!(
                        "path \"{path}\" is not served; expected /healthz, /readyz or /metrics"
                    );
                    refusal_answer(&Refusal::new(ErrorKind::NotFound, detail))
                }
            }
        }
    })
    .await
    .map(|_connections| ())
}
