//! What an entry asks a side to run.

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::ServiceName;
use dotterelrudder_types::Tier;
use dotterelrudder_types::WeightVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::ClaimKey;

/// The work itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A completion by a model engine.
    Completion {
        /// The model's name.
        model: CompactString,
        /// The prompt as the engine reads it.
        prompt: Bytes,
        /// Tokens to generate at most.
        max_tokens: u32,
        /// The weight version that a resume must meet; `None` for a new request.
        version: Option<WeightVersion>,
        /// Blocks worth importing, with the store's side that holds each.
        import: Vec<(BlockKey, InstanceName)>,
    },
    /// A call of a plain service, passed through.
    Call {
        /// The HTTP method.
        method: CompactString,
        /// The path with its query.
        path: CompactString,
        /// The body's media type.
        content_type: CompactString,
        /// The body.
        body: Bytes,
    },
}

/// Asks a side to run an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The attempt's identity.
    pub attempt: AttemptId,
    /// The service.
    pub service: ServiceName,
    /// The client account that asks.
    pub account: ClientAccount,
    /// Its tier.
    pub tier: Tier,
    /// Milliseconds until the deadline.
    pub deadline_ms: u64,
    /// Tokens that the entry expects the engine to prefill.
    pub prefill_tokens: u32,
    /// Present when the request may not be repeated.
    pub claim: Option<ClaimKey>,
    /// What to run.
    pub work: Work,
}
