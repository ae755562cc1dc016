//! A part of a prompt that a store holds.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::PartKey;

/// A part that a store holds whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPart {
    /// The store.
    pub store: SocketAddr,
    /// The part.
    pub key: PartKey,
    /// Its length in tokens.
    pub tokens: u32,
}
