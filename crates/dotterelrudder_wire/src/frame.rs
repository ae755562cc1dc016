//! Encoding and decoding of frames: a little-endian length of four bytes, then a bincode body.

use bytes::Buf;
use bytes::BufMut;
use bytes::BytesMut;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The largest body of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// The largest size of a replicated change, in bytes: the rest of a frame is for the message around
/// it.
pub const MAX_ENTRY_BYTES: usize = MAX_FRAME_BYTES - 64 * 1024;

/// The limit of the decoder, which counts the sizes of decoded values and not the bytes that they are
/// read from. The widest ratio is that of a small integer of eight bytes, which is encoded in one.
const MAX_DECODED_BYTES: usize = 8 * MAX_FRAME_BYTES;

/// The size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// The reason why bytes from a peer cannot be decoded, or a message cannot be encoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The body exceeds [`MAX_FRAME_BYTES`]; holds the length of the body, in bytes.
    TooLarge(usize),
    /// The body is not exactly one message of this protocol version; holds the length of the body,
    /// in bytes.
    Malformed(usize),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge(n) => write!(
                f,
                "frame body of {n} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
            ),
            Self::Malformed(n) => write!(
                f,
                "frame body is not a message of this protocol version, {n} bytes"
            ),
        }
    }
}

/// Returns the bincode settings of all frames. The limit makes the decoder reject a collection
/// whose declared length exceeds what the largest frame can hold, before it allocates memory. Every
/// message that fits into a frame is within the limit.
fn bincode_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_DECODED_BYTES>()
}

/// Counts written bytes and drops them.
struct ByteCounter(usize);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns the size of a value in a frame, in bytes.
pub fn encoded_size<T>(value: &T) -> usize
where
    T: Serialize,
{
    let mut counter = ByteCounter(0);
    let config = bincode::config::standard();
    bincode::serde::encode_into_std_write(value, &mut counter, config)
        .expect("every type in a message can be encoded by bincode");
    counter.0
}

/// Encodes a message and appends it to `buf` as one frame.
///
/// # Errors
///
/// Returns [`FrameError::TooLarge`] and leaves `buf` unchanged when the body exceeds
/// [`MAX_FRAME_BYTES`].
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

/// Splits the byte stream of a connection into frames and decodes their messages.
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
    /// Received bytes that are not decoded yet.
    buf: BytesMut,
}

impl FrameDecoder {
    /// Appends bytes received from the peer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Decodes and removes the next message; returns `None` until its frame is complete.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::TooLarge`] for a length prefix above [`MAX_FRAME_BYTES`], before the
    /// body arrives, and [`FrameError::Malformed`] for a body that is not exactly one message.
    /// After an error the rest of the stream cannot be decoded, and the caller must close the
    /// connection.
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
            .map_err(|_| FrameError::Malformed(body))?;
        if used != body {
            return Err(FrameError::Malformed(body));
        }
        Ok(Some(message))
    }
}
