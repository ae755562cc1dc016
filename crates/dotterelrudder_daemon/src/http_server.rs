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
use hyper::body::Body;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::intake::CallerConnection;
use crate::intake::HoldingPhase;
use crate::intake::IntakeBuffer;
use crate::intake::IntakeGate;
use crate::intake::IntakePort;
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
/// Open connections at a port that only balancers and operators use.
pub const OWN_PORT_CONNECTIONS: usize = 64;
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
/// The limits on memory and connections are those of the machine.
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
    let gate = IntakeGate::of_machine();
    let connections = gate.limits().connections;
    let port = IntakePort::new(gate, "other", connections);
    serve_port(address, stop, port, handler).await
}

/// Serves HTTP like [`serve`], with the limits of an intake.
///
/// # Errors
///
/// Returns the operating system's error when it cannot listen on the address.
pub async fn serve_port<H, F>(
    address: SocketAddr,
    stop: watch::Receiver<bool>,
    port: IntakePort,
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
    serve_within(address, stop, port, limits, |_| (), handler).await
}

/// Serves HTTP like [`serve_port`], with limits that are read anew for each connection;
/// `on_accept_error` receives the operating system's error when accepting fails.
///
/// # Errors
///
/// Returns the operating system's error when it cannot listen on the address.
pub async fn serve_within<L, R, H, F, B>(
    address: SocketAddr,
    stop: watch::Receiver<bool>,
    port: IntakePort,
    limits: L,
    on_accept_error: R,
    handler: H,
) -> Result<Connections, String>
where
    L: Fn() -> HeadLimits + Send + 'static,
    R: Fn(std::io::Error) + Send + 'static,
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
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
                    let Some(caller) = port.accept() else {
                        continue;
                    };
                    // If this fails, answers are only later by a delayed acknowledgement.
                    let _not_set = tcp.set_nodelay(true).is_err();
                    let io = TokioIo::new(tcp);
                    let (stop, handler, open_guard) =
                        (stop.clone(), handler.clone(), open_guard.clone());
                    let limits = limits();
                    tokio::spawn(async move {
                        let closed = caller.clone();
                        tokio::select! {
                            () = serve_connection(io, caller, stop, limits, handler) => {}
                            () = closed.closed() => {}
                        }
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
    caller: CallerConnection,
    mut stop: watch::Receiver<bool>,
    limits: HeadLimits,
    handler: Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let service = hyper::service::service_fn(move |mut req: Request<Incoming>| {
        let request = caller.begin_request();
        req.extensions_mut().insert(caller.clone());
        // The HTTP library allocates the future's size for each connection, also for an idle one.
        let answer = Box::pin(handler(req));
        async move { Ok::<_, Infallible>(request.track(answer.await)) }
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

/// Reads a complete request body within the limits on time and size, and within the byte budget of the
/// process.
///
/// # Errors
///
/// Returns a refusal when the body exceeds [`MAX_BODY_BYTES`], takes longer than 20 seconds or is
/// incomplete or malformed, or when the budget is exhausted.
pub async fn read_body(req: Request<Incoming>) -> Result<Bytes, Refusal> {
    let lease = CallerConnection::of(req.extensions())?.open_holding("", HoldingPhase::Receiving);
    let reading = collect_body(
        req.into_body(),
        IntakeBuffer::new(lease.clone(), MAX_BODY_BYTES),
    );
    let reading = timeout(BODY_TIMEOUT, reading);
    tokio::select! {
        read = reading => read.unwrap_or_else(|_| {
            let detail = "the request body was not received in time";
            Err(Refusal::new(ErrorKind::SlowSender, detail))
        }),
        refusal = IntakeBuffer::cut(&lease) => Err(refusal),
    }
}

async fn collect_body(mut body: Incoming, mut buffer: IntakeBuffer) -> Result<Bytes, Refusal> {
    let too_large = || {
        let detail = format!("the request body exceeds {MAX_BODY_BYTES} bytes");
        Refusal::new(ErrorKind::TooLarge, detail)
    };
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > MAX_BODY_BYTES {
        return Err(too_large());
    }
    buffer.reserve(announced).await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| {
            let detail = "the request body is incomplete or malformed";
            Refusal::new(ErrorKind::BadRequest, detail)
        })?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if buffer.len() + part.len() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        buffer.push(&part).await?;
    }
    Ok(buffer.freeze())
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
    let port = IntakePort::new(IntakeGate::of_machine(), "admin", OWN_PORT_CONNECTIONS);
    serve_admin_port(address, port, metrics, is_ready).await
}

/// Serves the endpoints of [`serve_admin`] with the limits of an intake.
///
/// # Errors
///
/// Returns the operating system's error when it cannot listen on the address.
pub async fn serve_admin_port<R>(
    address: SocketAddr,
    port: IntakePort,
    metrics: Metrics,
    is_ready: R,
) -> Result<(), String>
where
    R: Fn() -> bool + Send + Sync + 'static,
{
    let (_, stop) = watch::channel(false);
    let is_ready = Arc::new(is_ready);
    serve_port(address, stop, port, move |req| {
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
