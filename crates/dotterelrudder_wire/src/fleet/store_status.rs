//! The status of a store: capacity, link and utilisation.

use std::net::SocketAddr;

use dotterelrudder_types::DataCentre;
use serde::Deserialize;
use serde::Serialize;

/// The status of a store that entries may name to runners.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// The address that the store listens on.
    pub address: SocketAddr,
    /// The data centre that the store runs in.
    pub data_centre: DataCentre,
    /// The capacity of the store, in tokens of KV cache.
    pub capacity: u64,
    /// The bandwidth of the store's link, in megabits per second.
    pub link_mbps: f64,
    /// The latency before each transfer begins, in milliseconds.
    pub first_ms: f64,
    /// The utilisation: the share of the capacity in use, from 0 to 1.
    pub fill: f32,
    /// Whether the store accepts new parts now.
    pub accepts: bool,
}
