//! Dials other processes, and dials again after a connection failed or ended.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::FrameDecoder;
use dotterelrudder_wire::MESSAGE_SET;
use dotterelrudder_wire::MESSAGE_SET_HEADER;
use slog::debug;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::connection;
use super::connection::read_message_set;
use super::connection::Channel;
use super::connection::CONNECTION_WINDOW_BYTES;
use super::connection::STREAM_WINDOW_BYTES;
use super::hub::LinkHub;

/// Time limit for the TCP connection. A machine without power does not reply, and the operating
/// system repeats the SYN only after a second, when the machine may long be back; a new attempt
/// reaches it earlier.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for the whole setup: TCP connection, HTTP/2 handshake and both hellos.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the first new attempt; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the delay between attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Keeps a connection to one process open until the task is aborted.
///
/// Waits for `dial_delay` before the first attempt, and adds it to the interval at which it checks
/// a connection that the other process opened. Only the first failure in a row is logged.
pub(super) async fn dial(
    hub: LinkHub,
    name: InstanceName,
    address: SocketAddr,
    dial_delay: Duration,
) {
    let mut backoff = INITIAL_BACKOFF;
    let mut failure_logged = false;
    tokio::time::sleep(dial_delay).await;
    loop {
        if hub.is_connected(&name) {
            tokio::time::sleep(INITIAL_BACKOFF * 4 + dial_delay).await;
            continue;
        }
        let connected = timeout(OPEN_TIMEOUT, connect(&hub, address)).await;
        let failed = !matches!(&connected, Ok(Ok((peer, _))) if peer.name == name);
        if failed && failure_logged {
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
            continue;
        }
        failure_logged = failed;
        match connected {
            Ok(Ok((peer, channel))) if peer.name == name => {
                backoff = INITIAL_BACKOFF;
                connection::run(&hub, peer, channel).await;
            }
            Ok(Ok((peer, _))) => {
                debug!(hub.log(), "connected to an unexpected process"; "at" => %address,
                    "wanted" => name.as_str(), "found" => peer.name.as_str());
            }
            Ok(Err(e)) => {
                debug!(hub.log(), "connecting to peer failed"; "peer" => name.as_str(),
                    "error" => e);
            }
            Err(_) => debug!(hub.log(), "connecting to peer timed out"; "peer" => name.as_str()),
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Opens a connection and exchanges hellos; returns the peer's hello.
async fn connect(
    hub: &LinkHub,
    address: SocketAddr,
) -> Result<(dotterelrudder_wire::Hello, Channel), String> {
    let tcp = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let tcp = tcp
        .map_err(|_| "the TCP connection timed out")?
        .map_err(|e| e.to_string())?;
    tcp.set_nodelay(true).map_err(|e| e.to_string())?;
    let (sender, mut driver) = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake::<_, bytes::Bytes>(tcp)
        .await
        .map_err(|e| e.to_string())?;
    let ping = driver.ping_pong();
    tokio::spawn(async move {
        // An error of the driver also appears as an error of the stream.
        let _ended = driver.await;
    });
    let mut sender = sender.ready().await.map_err(|e| e.to_string())?;
    let req = http::Request::post("http://dotterelrudder/link")
        .header(MESSAGE_SET_HEADER, MESSAGE_SET)
        .body(());
    let req = req.map_err(|e| e.to_string())?;
    let (response, tx) = sender.send_request(req, false).map_err(|e| e.to_string())?;
    let response = response.await.map_err(|e| e.to_string())?;
    let peer_message_set = read_message_set(response.headers());
    let rx = response.into_body();
    let mut channel = Channel {
        tx,
        rx,
        decoder: FrameDecoder::default(),
        ping,
        peer_message_set,
    };
    channel.send_hello(hub).await?;
    let peer = channel.receive_hello(hub).await?;
    Ok((peer, channel))
}
