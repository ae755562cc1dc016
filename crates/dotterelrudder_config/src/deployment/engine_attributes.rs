//! What is declared of a service's model engines.

use serde::Deserialize;
use serde::Serialize;

/// What each engine of a service can hold and do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineAttributes {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens of KV cache that an engine's memory holds.
    pub cache_tokens: u64,
    /// Bytes of KV cache a token.
    pub token_bytes: u64,
    /// Megabits a second of an engine's link for KV cache.
    pub link_mbps: f64,
}
