//! What is declared of a store of kept KV cache.

use std::net::SocketAddr;

use dotterelrudder_types::DataCentre;
use serde::Deserialize;
use serde::Serialize;

/// A store that engines save KV cache to and fetch it from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreTraits {
    /// Where the store listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Tokens of KV cache that it holds.
    pub cache_tokens: u64,
    /// Megabits a second of its link.
    pub link_mbps: f64,
    /// Milliseconds that each transfer waits before it begins.
    pub first_ms: f64,
    /// Whether it keeps everything until it is told to free it.
    pub managed: bool,
}
