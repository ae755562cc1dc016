//! The load report that a side sends for its backend server.

use dotterelrudder_types::ServiceName;
use dotterelrudder_types::WeightVersion;
use serde::Deserialize;
use serde::Serialize;

/// The load and capacity of one backend server, from which entries select a runner for a request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The service that the backend server belongs to.
    pub service: ServiceName,
    /// The weight version that serves new requests; empty while none is loaded.
    pub version: WeightVersion,
    /// Whether the backend server accepts new work.
    pub open: bool,
    /// Attempts that the backend server can run at once.
    pub slots: u32,
    /// Attempts that are running, of both tiers.
    pub running: u32,
    /// Running attempts of the trial tier, which paying work may preempt.
    pub running_trial: u32,
    /// Queued attempts of the paying tier.
    pub waiting_paying: u32,
    /// Queued attempts of the trial tier.
    pub waiting_trial: u32,
    /// Prompt tokens of paying attempts that have not generated their first token yet.
    pub prefill_paying: u32,
    /// Prompt tokens of trial attempts that have not generated their first token yet.
    pub prefill_trial: u32,
    /// The prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// The recent throughput of block imports from stores, in bytes per second.
    pub import_rate: f64,
    /// The size of one block of KV cache, in bytes.
    pub block_bytes: u32,
    /// The average time that one attempt occupies a slot, in seconds.
    pub hold_seconds: f64,
}
