//! Names a part of a prompt's KV cache.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// A part of a prompt under the salt that keeps accounts and weights apart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey {
    /// The salt that the KV cache was made under.
    pub salt: CompactString,
    /// The part.
    pub part: CompactString,
}
