//! How many bytes of an answer an entry takes from a backend server.

use super::byte_limit::ByteLimit;

/// Bounds against backend servers that send without end, so that one of them can't fill an entry.
#[derive(Debug, Clone, Copy)]
pub struct AnswerLimits {
    /// The head, and what arrives behind a complete answer.
    pub head_bytes: usize,
    /// One event of a stream.
    pub event_bytes: usize,
    /// A whole answer.
    pub answer_bytes: usize,
    /// All answers together that are read whole before they are passed on.
    pub gathered_bytes: usize,
}

impl AnswerLimits {
    /// Bytes of a head by default: several times what runners send.
    pub(super) const HEAD: ByteLimit = ByteLimit::constant(32 * 1024);
    /// Bytes of an event by default. Thirty-two of them may wait for a slow caller.
    pub(super) const EVENT: ByteLimit = ByteLimit::constant(32 * 1024);
    /// Bytes of a whole answer by default.
    pub(super) const ANSWER: ByteLimit = ByteLimit::constant(4 * 1024 * 1024);
    /// Bytes of all answers that are gathered at a time by default: a small part of the memory of
    /// the smallest instances, since gathering needs up to twice as much.
    pub(super) const GATHERED: ByteLimit = ByteLimit::constant(16 * 1024 * 1024);
}
