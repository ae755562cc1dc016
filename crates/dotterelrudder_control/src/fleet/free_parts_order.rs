//! The leader's order to a store to free parts.

use std::net::SocketAddr;

use dotterelrudder_wire::PartKey;

/// An order to a store to free parts.
#[derive(Debug, Clone, PartialEq)]
pub struct FreePartsOrder {
    /// Address of the store.
    pub store: SocketAddr,
    /// Epoch of the store that the order is for; a store that has restarted since must ignore it.
    pub epoch: u64,
    /// Deadline by the engines' clock, in milliseconds; the order is void afterwards.
    pub until_ms: u64,
    /// The parts to free.
    pub parts: Vec<PartKey>,
}
