//! A TCP relay whose open connections can go silent while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_daemon::http_server::answer;
use serde::Deserialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::server;
use crate::server::not_found;

/// Bytes moved at once.
const BUFFER_BYTES: usize = 64 * 1024;

/// What the stand-in is told.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayFile {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it connects to.
    pub target: SocketAddr,
    /// Where it takes `POST /silence/forward` and `POST /silence/back`.
    pub orders: SocketAddr,
    /// Milliseconds by which each read is delayed.
    #[serde(default)]
    pub delay_ms: u64,
}

/// How often each direction was silenced; a connection opened before a silence stays silent.
#[derive(Debug, Clone, Copy, Default)]
struct Silences {
    forward: u64,
    back: u64,
}

/// Runs the relay until the process ends.
///
/// # Errors
///
/// Returns what the system says when an address can't be listened at.
pub async fn run(file: RelayFile) -> Result<(), String> {
    let listener = TcpListener::bind(file.listen).await;
    let listener = listener.map_err(|e| format!("listen {}: {e}", file.listen))?;
    let (tx, rx) = watch::channel(Silences::default());
    let (target, delay) = (file.target, Duration::from_millis(file.delay_ms));
    tokio::spawn(async move {
        while let Ok((incoming, _)) = listener.accept().await {
            tokio::spawn(connect(incoming, target, delay, rx.clone()));
        }
    });
    let tx = Arc::new(tx);
    server::serve(file.orders, move |req| {
        let tx = tx.clone();
        async move {
            match req.path.as_str() {
                "/silence/forward" => tx.send_modify(|s| s.forward += 1),
                "/silence/back" => tx.send_modify(|s| s.back += 1),
                _ => return not_found(),
            }
            answer(200, "application/json", "{}")
        }
    })
    .await
}

async fn connect(
    incoming: TcpStream,
    target: SocketAddr,
    delay: Duration,
    silences: watch::Receiver<Silences>,
) {
    let Ok(outgoing) = TcpStream::connect(target).await else {
        return;
    };
    let _nodelay = (incoming.set_nodelay(true), outgoing.set_nodelay(true));
    let (from_caller, to_caller) = incoming.into_split();
    let (from_target, to_target) = outgoing.into_split();
    let back = silences.clone();
    tokio::join!(
        pump(from_caller, to_target, delay, silences, |s| s.forward),
        pump(from_target, to_caller, delay, back, |s| s.back),
    );
}

/// Moves bytes one way, until the direction is silenced; then it swallows them for good.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delay: Duration,
    silences: watch::Receiver<Silences>,
    count: fn(&Silences) -> u64,
) {
    let opened_at = count(&silences.borrow());
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(read) = from.read(&mut buf).await {
        let silent = count(&silences.borrow()) > opened_at;
        if read == 0 {
            // A silent direction doesn't tell of its end either.
            if silent {
                std::future::pending::<()>().await;
            }
            return;
        }
        if silent {
            continue;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
