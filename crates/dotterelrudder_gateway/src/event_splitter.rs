//! Cuts a stream of server-sent events into whole events.
//!
//! Streams are passed on by whole events, since a runner can break off inside one; the bytes of an
//! event stay as the runner sent them.

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;

/// One event with its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's id, if it has one.
    pub id: Option<CompactString>,
    /// The bytes, with the empty line at the end.
    pub bytes: Bytes,
}

impl StreamEvent {
    /// Returns whether the event carries anything; a comment doesn't.
    pub fn is_progress(&self) -> bool {
        let mut lines = self.bytes.split(|b| *b == b'\n');
        self.id.is_some() || lines.any(|line| line.starts_with(b"data"))
    }
}

/// Gathers bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn take(&mut self) -> Option<StreamEvent> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = find_blank_line(&self.buf[from..]) else {
            self.searched = self.buf.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buf.split_to(from + end).freeze();
        Some(StreamEvent {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Returns the bytes that are no whole event.
    pub fn rest(&self) -> &[u8] {
        &self.buf
    }
}

/// Returns the position behind the first empty line.
fn find_blank_line(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).position(|w| w == b"\n\n").map(|i| i + 2);
    let crlf = buf.windows(4).position(|w| w == b"\r\n\r\n").map(|i| i + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn event_id(bytes: &[u8]) -> Option<CompactString> {
    let text = std::str::from_utf8(bytes).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().into())
}
