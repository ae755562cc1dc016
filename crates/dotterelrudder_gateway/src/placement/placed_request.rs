//! Result of placing a request.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::DataCentre;

use crate::AppliedLimit;
use crate::CachePlan;
use crate::FirstTokenEstimate;
use crate::RunnerKey;

/// The runner chosen for a request, and what the request to it has to state.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The runner's key in the entry's runner table.
    pub runner: RunnerKey,
    /// The address that the runner listens on.
    pub address: SocketAddr,
    /// The data centre of the runner.
    pub data_centre: DataCentre,
    /// The data centres that were evacuated when the runner was chosen.
    pub evacuated: Vec<DataCentre>,
    /// The identity of the runner, which is one start of a backend server.
    pub identity: CompactString,
    /// The time of the runner's start, in milliseconds since the Unix epoch; 0 if it is not known.
    pub born_ms: u64,
    /// The version of the runner's software, if known.
    pub software: Option<CompactString>,
    /// The version that the runner serves of the request's model.
    pub weights: Option<u64>,
    /// The KV-cache salt, which separates accounts and weight versions.
    pub cache_salt: Option<CompactString>,
    /// The source of the prompt's KV cache, and the stores to save it to.
    pub cache: CachePlan,
    /// The estimated time to the first token, with its inputs.
    pub estimate: FirstTokenEstimate,
    /// The age of the runner's last load report.
    pub load_age: Option<Duration>,
    /// The request limits that bore on the choice.
    pub limit: AppliedLimit,
}
