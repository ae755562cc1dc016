//! Frames: a little-endian length of four bytes, then a bincode body.

use bytes::Buf;
use bytes::BufMut;
use bytes::BytesMut;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The largest body of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;

/// Why bytes from a peer can't be read, or a message can't be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    TooLarge(usize),
    /// The body isn't a message of this protocol version.
    Malformed,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge(n) => write!(f, "frame of {n} bytes exceeds {MAX_FRAME_BYTES}"),
            Self::Malformed => f.write_str("frame body isn't a message of this protocol"),
        }
    }
}

fn bincode_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Appends a message as one frame.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`], leaving `buf` as it was, when the body exceeds the limit.
pub fn encode_frame<T>(message: &T, buf: &mut BytesMut) -> Result<(), FrameError>
where
    T: Serialize,
{
    let start = buf.len();
    buf.put_u32_le(0);
    let mut writer = buf.writer();
    let written = bincode::serde::encode_into_std_write(message, &mut writer, bincode_config());
    let body = buf.len() - start - LENGTH_BYTES;
    if written.is_err() || body > MAX_FRAME_BYTES {
        buf.truncate(start);
        return Err(FrameError::TooLarge(body));
    }
    buf[start..start + LENGTH_BYTES].copy_from_slice(&(body as u32).to_le_bytes());
    Ok(())
}

/// Cuts a stream of bytes into messages.
///
/// ```
/// use dotterelrudder_wire::{encode_frame, FrameDecoder};
/// let mut buf = bytes::BytesMut::new();
/// encode_frame(&7u32, &mut buf).expect("small");
/// let mut decoder = FrameDecoder::default();
/// decoder.push(&buf);
/// assert_eq!(decoder.take_message::<u32>(), Ok(Some(7)));
/// ```
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buf: BytesMut,
}

impl FrameDecoder {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes the next whole message, if there is one.
    ///
    /// # Errors
    ///
    /// After an error the stream can't be read on and the connection has to be closed.
    pub fn take_message<T>(&mut self) -> Result<Option<T>, FrameError>
    where
        T: DeserializeOwned,
    {
        let Some(length) = self.buf.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let body = u32::from_le_bytes(*length) as usize;
        if body > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge(body));
        }
        if self.buf.len() < LENGTH_BYTES + body {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let frame = self.buf.split_to(body);
        let (message, used) = bincode::serde::decode_from_slice(&frame, bincode_config())
            .map_err(|_| FrameError::Malformed)?;
        if used != body {
            return Err(FrameError::Malformed);
        }
        Ok(Some(message))
    }
}
