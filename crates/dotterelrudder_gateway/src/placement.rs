//! Where a request goes.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::CachePlan;
use crate::FirstTokenEstimate;
use crate::RunnerKey;

/// The runner that was chosen for a request, and what the request has to say to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The runner.
    pub runner: RunnerKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its present start.
    pub identity: CompactString,
    /// The weights that it serves of the request's model.
    pub weights: Option<u64>,
    /// Keeps apart the KV cache of accounts and weights.
    pub cache_salt: Option<CompactString>,
    /// Where the prompt's KV cache comes from and goes to.
    pub cache: CachePlan,
    /// The expected time to the first token, with its inputs.
    pub estimate: FirstTokenEstimate,
    /// Age of the runner's load report.
    pub load_age: Option<Duration>,
}
