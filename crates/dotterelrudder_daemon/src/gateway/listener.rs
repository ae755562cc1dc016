//! Accepts callers and ends their connections in order at a planned stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_gateway::Dialect;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::serving::Serving;
use crate::http_server::wait_for_stop;

/// How long to pause after the system refused a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The smallest buffer that the HTTP library takes for a head.
const LEAST_HEAD_BYTES: usize = 8_192;

/// The open connections of callers.
#[derive(Debug)]
pub(super) struct Callers {
    open: mpsc::Receiver<()>,
}

impl Callers {
    /// Waits until every connection has ended.
    pub(super) async fn gone(mut self) {
        while self.open.recv().await.is_some() {}
    }
}

/// Accepts callers until `closed` turns true, then finishes the requests in work.
///
/// # Errors
///
/// Returns what the system says when the address can't be listened at.
pub(super) async fn accept_callers<D>(
    address: SocketAddr,
    serving: Arc<Serving<D>>,
    closed: watch::Receiver<bool>,
) -> Result<Callers, String>
where
    D: Dialect,
{
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|e| format!("listen {address}: {e}"))?;
    let (alive, open) = mpsc::channel(1);
    tokio::spawn(async move {
        let mut closing = closed.clone();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((tcp, _)) => {
                        let (serving, closed, alive) =
                            (serving.clone(), closed.clone(), alive.clone());
                        tokio::spawn(async move {
                            serve_caller(tcp, serving, closed).await;
                            drop(alive);
                        });
                    }
                    Err(e) => {
                        warn!(serving.log, "caller not accepted"; "error" => e.to_string());
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                () = wait_for_stop(&mut closing) => return,
            }
        }
    });
    Ok(Callers { open })
}

async fn serve_caller<D>(
    tcp: TcpStream,
    serving: Arc<Serving<D>>,
    mut closed: watch::Receiver<bool>,
) where
    D: Dialect,
{
    // Without it answers are only later by a delayed acknowledgement.
    let _refused = tcp.set_nodelay(true).is_err();
    let limits = serving.gateway().configuration().limits.clone();
    let service = hyper::service::service_fn(move |req| {
        let serving = serving.clone();
        async move { Ok::<_, Infallible>(serving.serve(req).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        // The library's limit runs while a connection is idle as well.
        .header_read_timeout(limits.idle_time)
        .max_buf_size(limits.header_bytes.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(tcp), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = wait_for_stop(&mut closed) => connection.as_mut().graceful_shutdown(),
    }
    // A caller's broken connection concerns only that caller, whose requests were logged.
    let _ended = connection.await;
}
