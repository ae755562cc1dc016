//! The key of a part of a prompt's KV cache in a store.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Identifies a prompt part and the salt that separates isolated accounts and weight versions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey {
    /// The salt under which the KV cache was computed; see [`super::cache_salt()`].
    pub salt: CompactString,
    /// The identity of the prompt part.
    pub part: CompactString,
}
