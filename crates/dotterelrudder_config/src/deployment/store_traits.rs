//! Declared address, capacity and link of a KV cache store.

use std::net::SocketAddr;

use dotterelrudder_types::DataCentre;
use serde::Deserialize;
use serde::Serialize;

/// A store that engines save KV cache to and fetch it from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreTraits {
    /// The address at which the store listens.
    pub address: SocketAddr,
    /// The data centre of the store.
    pub data_centre: DataCentre,
    /// Capacity of the store, in tokens of KV cache.
    pub cache_tokens: u64,
    /// Bandwidth of the store's link, in megabits per second.
    pub link_mbps: f64,
    /// Latency before each transfer begins, in milliseconds.
    pub first_ms: f64,
    /// Whether the store keeps each stored part until it is ordered to free it.
    pub managed: bool,
}
