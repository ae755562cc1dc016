//! Declared capacity of a service's model engines.

use serde::Deserialize;
use serde::Serialize;

/// The capacity of each engine of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineAttributes {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of one engine's KV cache, in tokens.
    pub cache_tokens: u64,
    /// Size of the KV cache of one token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link for KV cache transfers, in megabits per second.
    pub link_mbps: f64,
}
