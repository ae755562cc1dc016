//! A request to a backend server.

use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::ClientAccount;

use crate::CachePlan;

/// What the gateway adds to a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendRequest {
    /// The identity of the runner; another start of the backend server must refuse the request.
    pub identity: CompactString,
    /// The weight version to run on; a runner with another version must refuse the request.
    pub weights: Option<u64>,
    /// The salt of the KV cache; requests with different salts do not share KV cache.
    pub cache_salt: Option<CompactString>,
    /// The source of the prompt's KV cache, and the stores to save it to.
    pub cache: CachePlan,
    /// The client account that the caller's API key belongs to.
    pub account: Option<ClientAccount>,
    /// The time that the backend server may spend on the request.
    pub time_left: Duration,
    /// The urgency among the requests of the runner, from 0 (first) to 9 (last).
    pub urgency: Option<u8>,
    /// The id of the last event that the caller received; the runner resumes the stream after it.
    pub resume_after: Option<CompactString>,
}
