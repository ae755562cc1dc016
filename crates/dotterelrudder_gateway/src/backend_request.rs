//! A request as it goes to a backend server.

use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::ClientAccount;

use crate::CachePlan;

/// What the gateway adds to a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendRequest {
    /// The start of the backend server that alone may run the request.
    pub identity: CompactString,
    /// The weight version that alone may run it.
    pub weights: Option<u64>,
    /// Keeps apart the KV cache of requests that must not share it.
    pub cache_salt: Option<CompactString>,
    /// Where the prompt's KV cache comes from and goes to.
    pub cache: CachePlan,
    /// The client account that the caller's key belongs to.
    pub account: Option<ClientAccount>,
    /// How long the backend server may work on it.
    pub time_left: Duration,
    /// How urgent it is among the requests of the runner, 0 first and 9 last.
    pub urgency: Option<u8>,
    /// The last event that the caller has, for a run that goes on behind it.
    pub resume_after: Option<CompactString>,
}
