//! Accepts connections from other processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_wire::FrameDecoder;
use dotterelrudder_wire::Hello;
use dotterelrudder_wire::MESSAGE_SET;
use dotterelrudder_wire::MESSAGE_SET_HEADER;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::connection;
use super::connection::read_message_set;
use super::connection::Channel;
use super::connection::CONNECTION_WINDOW_BYTES;
use super::connection::STREAM_WINDOW_BYTES;
use super::hub::LinkHub;

/// Time limit for the HTTP/2 handshake, and again for the stream to be opened.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections whose hellos are not exchanged yet. Each takes milliseconds, so that 580 entries connect
/// within a second; peers that send nothing cannot take every descriptor.
const MAX_PENDING: usize = 128;
/// Delay before the next `accept` after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds the address and accepts connections in a task until the process ends.
pub(super) async fn listen(hub: LinkHub, address: SocketAddr) -> Result<(), String> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|e| format!("cannot listen on {address}: {e}"))?;
    let pending = Arc::new(Semaphore::new(MAX_PENDING));
    tokio::spawn(async move {
        // The semaphore is never closed.
        while let Ok(permit) = pending.clone().acquire_owned().await {
            match listener.accept().await {
                Ok((tcp, _)) => {
                    tokio::spawn(handle_connection(hub.clone(), tcp, permit));
                }
                Err(e) => {
                    warn!(hub.log(), "failed to accept a connection"; "error" => e.to_string());
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

/// Serves one connection and logs the error if it is rejected.
async fn handle_connection(hub: LinkHub, tcp: TcpStream, permit: OwnedSemaphorePermit) {
    if let Err(e) = serve_connection(&hub, tcp, permit).await {
        warn!(hub.log(), "incoming connection rejected"; "error" => e);
    }
}

/// Accepts the peer's stream, exchanges hellos and runs the connection to its end.
async fn serve_connection(
    hub: &LinkHub,
    tcp: TcpStream,
    permit: OwnedSemaphorePermit,
) -> Result<(), String> {
    tcp.set_nodelay(true).map_err(|e| e.to_string())?;
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(1)
        .handshake::<_, bytes::Bytes>(tcp);
    let driver = timeout(OPEN_TIMEOUT, handshake)
        .await
        .map_err(|_| "the HTTP/2 handshake timed out")?;
    let mut driver = driver.map_err(|e| e.to_string())?;
    let ping = driver.ping_pong();
    let stream = timeout(OPEN_TIMEOUT, driver.accept())
        .await
        .map_err(|_| "timed out waiting for the stream")?;
    let (req, mut respond) = stream
        .ok_or("the peer closed the connection before it opened a stream")?
        .map_err(|e| e.to_string())?;
    let response = http::Response::builder()
        .header(MESSAGE_SET_HEADER, MESSAGE_SET)
        .body(())
        .map_err(|e| e.to_string())?;
    let tx = respond
        .send_response(response, false)
        .map_err(|e| e.to_string())?;
    let peer_message_set = read_message_set(req.headers());
    let rx = req.into_body();
    let mut channel = Channel {
        tx,
        rx,
        decoder: FrameDecoder::default(),
        ping,
        peer_message_set,
    };
    // The driver has to be polled for the stream to make progress; it refuses further streams.
    let driver_task = tokio::spawn(async move { while driver.accept().await.is_some() {} });
    let peer_hello = exchange_hellos(hub, &mut channel).await;
    drop(permit);
    if let Ok(peer) = peer_hello {
        connection::run(hub, peer, channel).await;
        driver_task.abort();
        return Ok(());
    }
    driver_task.abort();
    peer_hello.map(|_| ())
}

/// Receives the peer's hello before sending the own one, so that only a peer with the secret gets a
/// reply.
async fn exchange_hellos(hub: &LinkHub, channel: &mut Channel) -> Result<Hello, String> {
    let peer = channel.receive_hello(hub).await?;
    channel.send_hello(hub).await?;
    Ok(peer)
}
