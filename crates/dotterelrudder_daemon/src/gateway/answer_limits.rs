//! Size limits of responses from backend servers.

use serde::Deserialize;

use super::byte_limit::ByteLimit;

/// Size limits of responses, so that a backend server that sends an endless response cannot exhaust
/// the memory of an entry.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct AnswerLimits {
    /// The maximum size of a response head, and of data that arrives after a complete response.
    #[serde(default = "head", rename = "answer_head_bytes")]
    pub head: ByteLimit,
    /// The maximum size of one event of a stream.
    #[serde(default = "event", rename = "answer_event_bytes")]
    pub event: ByteLimit,
    /// The maximum size of a complete response.
    #[serde(default = "answer", rename = "answer_bytes")]
    pub answer: ByteLimit,
    /// The maximum total size of all responses that are buffered completely before they are relayed.
    #[serde(default = "gathered", rename = "gathered_answer_bytes")]
    pub gathered: ByteLimit,
}

/// The default size limit of a response head: several times the size of the heads that runners send.
fn head() -> ByteLimit {
    ByteLimit::constant(32 * 1024)
}

/// The default size limit of an event. Up to 32 events are buffered for a slow caller.
fn event() -> ByteLimit {
    ByteLimit::constant(32 * 1024)
}

/// The default size limit of a complete response.
fn answer() -> ByteLimit {
    ByteLimit::constant(4 * 1024 * 1024)
}

/// The default total size limit of buffered responses: a small share of the memory of the smallest
/// instances, since buffering needs up to twice as much memory as the limit.
fn gathered() -> ByteLimit {
    ByteLimit::constant(16 * 1024 * 1024)
}
