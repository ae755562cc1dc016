//! One connection: exchange of hellos, sending and receiving of frames, liveness checks.

use std::future::poll_fn;
use std::sync::atomic::AtomicI32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::encode_frame;
use dotterelrudder_wire::Envelope;
use dotterelrudder_wire::FrameDecoder;
use dotterelrudder_wire::Hello;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::MESSAGE_SET_HEADER;
use dotterelrudder_wire::PROTOCOL_VERSION;
use h2::PingPong;
use h2::RecvStream;
use h2::SendStream;
use slog::info;
use slog::warn;
use subtle::ConstantTimeEq;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use super::hub::LinkEvent;
use super::hub::LinkHub;

/// Time limit for the peer's hello to arrive.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that are received at most before the peer's hello is complete; a hello has some hundred bytes,
/// and messages may follow in the same frame.
const MAX_HELLO_BYTES: usize = 64 * 1024;
/// Interval between pings while at least one reply is pending on the connection.
const PING_INTERVAL_BUSY: Duration = Duration::from_millis(400);
/// Shortest time between pings while no reply is pending.
const PING_INTERVAL_IDLE: Duration = Duration::from_millis(1_200);
/// Time limit for the reply to a ping, after which the connection is closed.
const PONG_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest number of messages that are encoded into one write.
const MAX_BATCH_MESSAGES: usize = 256;
/// Initial HTTP/2 flow-control window of a stream, in bytes.
pub(super) const STREAM_WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// Initial HTTP/2 flow-control window of a connection, in bytes.
pub(super) const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// The two halves of the stream, the decoder of incoming frames and the ping handle of the
/// connection.
pub(super) struct Channel {
    pub(super) tx: SendStream<Bytes>,
    pub(super) rx: RecvStream,
    pub(super) decoder: FrameDecoder,
    pub(super) ping: Option<PingPong>,
    /// The newest kinds of messages that the peer can decode.
    pub(super) peer_message_set: u32,
}

/// Reads the peer's message set from the headers of its request or response.
pub(super) fn read_message_set(headers: &http::HeaderMap) -> u32 {
    let value = headers.get(MESSAGE_SET_HEADER);
    let text = value.and_then(|v| v.to_str().ok());
    text.and_then(|t| t.parse().ok()).unwrap_or(0)
}

/// Sends all bytes, waiting for flow-control capacity whenever the peer's window is exhausted.
async fn write_all(tx: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), String> {
    while !bytes.is_empty() {
        tx.reserve_capacity(bytes.len());
        let granted = poll_fn(|cx| tx.poll_capacity(cx)).await;
        let granted = granted
            .ok_or("the stream closed during a send")?
            .map_err(|e| e.to_string())?;
        let chunk = bytes.split_to(granted.min(bytes.len()));
        tx.send_data(chunk, false).map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// Receives the next data frame into `decoder` and returns its bytes to the flow-control window.
/// Returns their number.
async fn read_data(
    channel_rx: &mut RecvStream,
    decoder: &mut FrameDecoder,
) -> Result<usize, String> {
    let data = channel_rx
        .data()
        .await
        .ok_or("the peer ended the stream")?
        .map_err(|e| e.to_string())?;
    decoder.push(&data);
    channel_rx
        .flow_control()
        .release_capacity(data.len())
        .map_err(|e| e.to_string())?;
    Ok(data.len())
}

impl Channel {
    /// Sends the hello of this process.
    pub(super) async fn send_hello(&mut self, hub: &LinkHub) -> Result<(), String> {
        let mut buf = BytesMut::new();
        encode_frame(&hub.hello(), &mut buf).map_err(|e| e.to_string())?;
        write_all(&mut self.tx, buf.freeze()).await
    }

    /// Receives the peer's hello and checks its protocol version and secret.
    pub(super) async fn receive_hello(&mut self, hub: &LinkHub) -> Result<Hello, String> {
        let read = async {
            let mut received = 0;
            loop {
                if let Some(hello) = self
                    .decoder
                    .take_message::<Hello>()
                    .map_err(|e| e.to_string())?
                {
                    return Ok::<Hello, String>(hello);
                }
                received += read_data(&mut self.rx, &mut self.decoder).await?;
                if received > MAX_HELLO_BYTES {
                    return Err("the peer's hello is too long".into());
                }
            }
        };
        let hello = timeout(HELLO_TIMEOUT, read)
            .await
            .map_err(|_| "timed out waiting for the peer's hello")??;
        if hello.protocol != PROTOCOL_VERSION {
            let (peer_protocol, name) = (hello.protocol, &hello.name);
            return Err(format!(
                "\"{name}\" uses protocol version {peer_protocol}, expected {PROTOCOL_VERSION}"
            ));
        }
        if !bool::from(hello.secret.as_bytes().ct_eq(hub.secret().as_bytes())) {
            return Err(format!(
                "the hello of \"{}\" has a wrong deployment secret",
                hello.name
            ));
        }
        Ok(hello)
    }
}

/// Runs a connection, after its hellos were exchanged, until it ends.
///
/// It ends on an error, when the peer closes it, when a ping times out, or when a newer connection
/// to the same peer replaces it.
pub(super) async fn run(hub: &LinkHub, peer: Hello, channel: Channel) {
    let pending_replies = Arc::new(AtomicI32::new(0));
    let Channel {
        tx,
        rx,
        decoder,
        ping,
        peer_message_set,
    } = channel;
    let (connection_id, messages) = hub.register(&peer, peer_message_set, pending_replies.clone());
    info!(hub.log(), "link opened"; "peer" => peer.name.as_str());
    let ended = tokio::select! {
        e = write_messages(hub, &peer.name, tx, messages, peer_message_set) => e,
        e = read_messages(hub, &peer.name, connection_id, rx, decoder, &pending_replies) => e,
        e = check_liveness(ping, &pending_replies) => e,
    };
    let reason = ended.err().unwrap_or_default();
    warn!(hub.log(), "link closed"; "peer" => peer.name.as_str(), "reason" => reason);
    hub.unregister(&peer.name, connection_id);
}

/// Sends queued messages in batches until the connection is replaced or a write fails. Kinds that the
/// peer can't decode are left out.
async fn write_messages(
    hub: &LinkHub,
    peer: &InstanceName,
    mut tx: SendStream<Bytes>,
    mut messages: UnboundedReceiver<Message>,
    peer_message_set: u32,
) -> Result<(), String> {
    let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
    let mut buf = BytesMut::new();
    loop {
        if messages.recv_many(&mut batch, MAX_BATCH_MESSAGES).await == 0 {
            return Err("replaced by a newer connection".into());
        }
        let revision = hub.revision();
        for message in batch.drain(..) {
            if message.message_set() > peer_message_set {
                continue;
            }
            let envelope = Envelope { revision, message };
            if let Err(e) = encode_frame(&envelope, &mut buf) {
                hub.count_frame_error();
                warn!(hub.log(), "message dropped because it could not be encoded";
                    "peer" => peer.as_str(), "message" => envelope.message.kind(),
                    "error" => e.to_string());
            }
        }
        write_all(&mut tx, buf.split().freeze()).await?;
    }
}

/// Emits an event for each message of the peer until the connection is replaced or a read fails.
async fn read_messages(
    hub: &LinkHub,
    peer: &InstanceName,
    connection_id: u64,
    mut rx: RecvStream,
    mut decoder: FrameDecoder,
    pending_replies: &AtomicI32,
) -> Result<(), String> {
    loop {
        while let Some(envelope) = decoder.take_message::<Envelope>().map_err(|e| {
            hub.count_frame_error();
            e.to_string()
        })? {
            let Envelope { revision, message } = envelope;
            let delta = message.waiting_delta();
            if delta < 0 {
                let fewer = |n: i32| Some((n + delta).max(0));
                let _updated =
                    pending_replies.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fewer);
            }
            if !hub.is_current(peer, connection_id) {
                return Err("replaced by a newer connection".into());
            }
            hub.emit(LinkEvent::Message {
                peer: peer.clone(),
                revision,
                message,
            });
        }
        read_data(&mut rx, &mut decoder).await?;
    }
}

/// Pings the peer, more often while replies are pending, and returns when a ping fails or times
/// out. Never returns without a ping handle.
async fn check_liveness(ping: Option<PingPong>, pending_replies: &AtomicI32) -> Result<(), String> {
    let Some(mut ping) = ping else {
        return std::future::pending().await;
    };
    let mut since_ping = Duration::ZERO;
    loop {
        tokio::time::sleep(PING_INTERVAL_BUSY).await;
        since_ping += PING_INTERVAL_BUSY;
        if pending_replies.load(Ordering::Relaxed) <= 0 && since_ping < PING_INTERVAL_IDLE {
            continue;
        }
        since_ping = Duration::ZERO;
        let pong = timeout(PONG_TIMEOUT, ping.ping(h2::Ping::opaque())).await;
        pong.map_err(|_| "ping timed out")?
            .map_err(|e| e.to_string())?;
    }
}
