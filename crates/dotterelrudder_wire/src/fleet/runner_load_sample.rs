//! The part of a load report that changes from report to report.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The load of a runner at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerLoadSample {
    /// The address that the runner listens on.
    pub address: SocketAddr,
    /// Whether the runner responded to its side recently.
    pub answers: bool,
    /// Whether the runner refuses new work.
    pub leaving: bool,
    /// Whether the runner is carrying out a weight order, or is about to.
    pub loading: bool,
    /// Requests that are queued for a place in the batch.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Tokens of KV cache that cannot be evicted.
    pub used_tokens: u64,
}
