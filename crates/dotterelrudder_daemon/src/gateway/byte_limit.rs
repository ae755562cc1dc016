//! A number of bytes in the settings.

use serde::Deserialize;

/// The least and the most bytes of a setting. The HTTP library needs 8 KiB for a head.
const RANGE: std::ops::RangeInclusive<u64> = 8 * 1024..=256 * 1024 * 1024;

/// A number of bytes within the range that an entry can work with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(try_from = "u64")]
pub struct ByteLimit(usize);

impl ByteLimit {
    /// Builds a default, which is within the range.
    pub(super) const fn constant(bytes: usize) -> Self {
        Self(bytes)
    }

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
