//! Splits a byte stream into server-sent events.
//!
//! Streams are forwarded in whole events, because a runner can fail in the middle of one. The bytes
//! of an event are forwarded unchanged.

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;

/// One server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's id, if it has one.
    pub id: Option<CompactString>,
    /// The bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
}

impl StreamEvent {
    /// Returns whether the event has an id or data; a comment has neither. Clients also end a line at
    /// a lone carriage return.
    pub fn is_progress(&self) -> bool {
        let mut lines = self.bytes.split(|b| matches!(b, b'\n' | b'\r'));
        lines.any(|line| line.starts_with(b"data") || line.starts_with(b"id"))
    }
}

/// Buffers received bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of `buf` that were already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
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

    /// Returns the buffered bytes that are not part of a complete event yet.
    pub fn rest(&self) -> &[u8] {
        &self.buf
    }
}

/// Returns the position after the first empty line.
fn find_blank_line(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).position(|w| w == b"\n\n").map(|i| i + 2);
    let crlf = buf.windows(4).position(|w| w == b"\r\n\r\n").map(|i| i + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Returns the value of the event's first `id:` line.
fn event_id(bytes: &[u8]) -> Option<CompactString> {
    let text = std::str::from_utf8(bytes).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().into())
}
