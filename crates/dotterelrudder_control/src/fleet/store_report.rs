//! The result of reading a store's contents.

use std::net::SocketAddr;

use dotterelrudder_wire::PartKey;

use super::StoreEvent;

/// The result of one request to a store: its contents, changes since the last one, or a failure.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReport {
    /// A full listing of the store.
    Listed {
        /// Address of the store.
        store: SocketAddr,
        /// The store's current epoch, which changes with each start of the store.
        epoch: u64,
        /// Clock of the engines as the store reported it, in milliseconds; 0 when it did not.
        clock_ms: u64,
        /// Parts that are completely stored, with their length in tokens.
        held: Vec<(PartKey, u32)>,
        /// Parts that are being written, with the number of tokens written so far.
        partial: Vec<(PartKey, u32)>,
    },
    /// Changes since the previous report.
    Changed {
        /// Address of the store.
        store: SocketAddr,
        /// The store's current epoch, which changes with each start of the store.
        epoch: u64,
        /// Clock of the engines as the store reported it, in milliseconds; 0 when it did not.
        clock_ms: u64,
        /// The changes, oldest first.
        events: Vec<StoreEvent>,
    },
    /// The store does not answer.
    Lost {
        /// Address of the store.
        store: SocketAddr,
    },
}
