//! A size limit in the settings file.

use serde::Deserialize;

/// The allowed range in bytes. The HTTP library needs at least 8 KiB for a head.
const RANGE: std::ops::RangeInclusive<u64> = 8 * 1024..=256 * 1024 * 1024;

/// A size limit in bytes, from 8 KiB to 256 MiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(try_from = "u64")]
pub struct ByteLimit(usize);

impl ByteLimit {
    /// Builds a default value, which must be within the range.
    pub(super) const fn constant(bytes: usize) -> Self {
        Self(bytes)
    }

    /// Returns the limit in bytes.
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
            .ok_or_else(|| format!("the limit of {bytes} bytes is not between {least} and {most}"))
    }
}
