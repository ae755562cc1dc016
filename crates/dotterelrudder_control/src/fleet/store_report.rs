//! What a store tells the leader.

use std::net::SocketAddr;

use dotterelrudder_wire::PartKey;

use super::StoreEvent;

/// What a store told, or that it doesn't answer.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReport {
    /// All that the store holds.
    Listed {
        /// The store.
        store: SocketAddr,
        /// Its present start.
        epoch: u64,
        /// The engines' clock, in milliseconds.
        clock_ms: u64,
        /// Parts that it holds whole, with their tokens.
        held: Vec<(PartKey, u32)>,
        /// Parts that are being written, with the tokens written.
        partial: Vec<(PartKey, u32)>,
    },
    /// What changed since it was asked last.
    Changed {
        /// The store.
        store: SocketAddr,
        /// Its present start.
        epoch: u64,
        /// The engines' clock, in milliseconds.
        clock_ms: u64,
        /// The changes, in order.
        events: Vec<StoreEvent>,
    },
    /// The store doesn't answer.
    Lost {
        /// The store.
        store: SocketAddr,
    },
}
