//! How many bytes of an answer an entry takes from a backend server.

use serde::Deserialize;

use super::byte_limit::ByteLimit;

/// Bounds against backend servers that send without end, so that one of them can't fill an entry.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct AnswerLimits {
    /// Bytes of the head of an answer at most, and of what arrives behind a complete one.
    #[serde(default = "head", rename = "answer_head_bytes")]
    pub head: ByteLimit,
    /// Bytes of one event of a stream at most.
    #[serde(default = "event", rename = "answer_event_bytes")]
    pub event: ByteLimit,
    /// Bytes of a whole answer at most.
    #[serde(default = "answer", rename = "answer_bytes")]
    pub answer: ByteLimit,
    /// Bytes of all answers together that are read whole before they are passed on.
    #[serde(default = "gathered", rename = "gathered_answer_bytes")]
    pub gathered: ByteLimit,
}

/// Several times what runners send.
fn head() -> ByteLimit {
    ByteLimit::constant(32 * 1024)
}

/// Thirty-two of them may wait for a slow caller.
fn event() -> ByteLimit {
    ByteLimit::constant(32 * 1024)
}

fn answer() -> ByteLimit {
    ByteLimit::constant(4 * 1024 * 1024)
}

/// A small part of the memory of the smallest instances, since gathering needs up to twice as much.
fn gathered() -> ByteLimit {
    ByteLimit::constant(16 * 1024 * 1024)
}
