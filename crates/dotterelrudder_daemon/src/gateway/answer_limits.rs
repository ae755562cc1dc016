//! How many bytes of an answer an entry takes from a backend server.

use serde::Deserialize;

/// The least and the most bytes of a setting. The HTTP library needs 8 KiB for a head.
const RANGE: std::ops::RangeInclusive<u64> = 8 * 1024..=256 * 1024 * 1024;

/// A number of bytes within the range that an entry can work with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(try_from = "u64")]
pub struct ByteLimit(usize);

impl ByteLimit {
    /// Returns the number of bytes.
    pub fn get(self) -> usize {
        self.0
    }
}

impl TryFrom<u64> for ByteLimit {
    type Error = String;

    fn try_from(bytes: u64) -> Result<Self, String> {
        let (least, most) = (RANGE.start(), RANGE.end());
        let within = RANGE.contains(&bytes).then_some(bytes);
        let limit = within.and_then(|bytes| usize::try_from(bytes).ok());
        limit
            .map(Self)
            .ok_or_else(|| format!("{bytes} bytes are not between {least} and {most}"))
    }
}

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
    pub(super) const HEAD: ByteLimit = ByteLimit(32 * 1024);
    /// Bytes of an event by default. Thirty-two of them may wait for a slow caller.
    pub(super) const EVENT: ByteLimit = ByteLimit(32 * 1024);
    /// Bytes of a whole answer by default.
    pub(super) const ANSWER: ByteLimit = ByteLimit(4 * 1024 * 1024);
    /// Bytes of all answers that are gathered at a time by default: a small part of the memory of
    /// the smallest instances, since gathering needs up to twice as much.
    pub(super) const GATHERED: ByteLimit = ByteLimit(16 * 1024 * 1024);
}
