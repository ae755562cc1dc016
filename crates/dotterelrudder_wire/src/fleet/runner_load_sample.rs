//! What changes at a runner from report to report.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The load of a runner at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerLoadSample {
    /// Where the runner listens.
    pub address: SocketAddr,
    /// Whether the runner answered its side lately.
    pub answers: bool,
    /// Whether the runner takes no new work.
    pub leaving: bool,
    /// Whether the runner carries an order out, or is about to.
    pub loading: bool,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Tokens of KV cache that can't yield.
    pub used_tokens: u64,
}
