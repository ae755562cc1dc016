//! A prompt part that a store holds.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::PartKey;

/// A prompt part whose KV cache a store holds completely.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPart {
    /// The address of the store.
    pub store: SocketAddr,
    /// The key of the part.
    pub key: PartKey,
    /// The length of the part, in tokens.
    pub tokens: u32,
}
