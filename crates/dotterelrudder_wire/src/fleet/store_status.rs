//! How a store stands.

use std::net::SocketAddr;

use dotterelrudder_types::DataCentre;
use serde::Deserialize;
use serde::Serialize;

/// A store that entries may name to runners.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Tokens of KV cache that it holds.
    pub capacity: u64,
    /// Megabits a second of its link.
    pub link_mbps: f64,
    /// Milliseconds that each transfer waits before it begins.
    pub first_ms: f64,
    /// The share of the capacity that is in use.
    pub fill: f32,
    /// Whether parts may be saved to it now.
    pub accepts: bool,
}
