//! An order to a store.

use std::net::SocketAddr;

use dotterelrudder_wire::PartKey;

/// An order to free parts.
#[derive(Debug, Clone, PartialEq)]
pub struct FreePartsOrder {
    /// The store.
    pub store: SocketAddr,
    /// The start of the store that the order is for.
    pub epoch: u64,
    /// The engines' clock after which the order must not be carried out, in milliseconds.
    pub until_ms: u64,
    /// The parts.
    pub parts: Vec<PartKey>,
}
