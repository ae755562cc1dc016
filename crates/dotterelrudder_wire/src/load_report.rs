//! The load of one backend server as its side sees it.

use dotterelrudder_types::ServiceName;
use dotterelrudder_types::WeightVersion;
use serde::Deserialize;
use serde::Serialize;

/// What entries weigh when they route.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The service that the backend server belongs to.
    pub service: ServiceName,
    /// The weight version that new requests get; empty while none is loaded.
    pub version: WeightVersion,
    /// Whether new work is taken.
    pub open: bool,
    /// Attempts that the backend server can run at once.
    pub slots: u32,
    /// Attempts running.
    pub running: u32,
    /// Attempts running that paying work may displace.
    pub running_trial: u32,
    /// Attempts waiting, paying ones.
    pub waiting_paying: u32,
    /// Attempts waiting, trial ones.
    pub waiting_trial: u32,
    /// Prompt tokens of paying attempts that still wait for their first token.
    pub prefill_paying: u32,
    /// Prompt tokens of trial attempts that still wait for their first token.
    pub prefill_trial: u32,
    /// Prefill rate in tokens a second.
    pub prefill_rate: f64,
    /// Bytes a second that imports reached lately.
    pub import_rate: f64,
    /// Bytes of one block of KV cache.
    pub block_bytes: u32,
    /// Seconds that a slot is held by one attempt on average.
    pub hold_seconds: f64,
}
