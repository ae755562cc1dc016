//! The request by which an entry starts an attempt at a side.

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

/// The call that the side makes to its backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A completion by a model engine.
    Completion {
        /// The name of the model.
        model: CompactString,
        /// The prompt text as it is sent to the engine.
        prompt: Bytes,
        /// The maximum number of tokens to generate.
        max_tokens: u32,
        /// The weight version that the engine must serve to resume a stream; `None` for a new
        /// request.
        version: Option<WeightVersion>,
        /// KV cache blocks that are worth importing, each with the store's side to read it from.
        import: Vec<(BlockKey, InstanceName)>,
    },
    /// An HTTP request to a plain service, forwarded unchanged.
    Call {
        /// The HTTP method.
        method: CompactString,
        /// The path with its query string.
        path: CompactString,
        /// The media type of the body.
        content_type: CompactString,
        /// The body of the request.
        body: Bytes,
    },
}

/// Requests that a side run an attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The identity of the attempt, chosen by the entry.
    pub attempt: AttemptId,
    /// The service that the request is routed to.
    pub service: ServiceName,
    /// The client account that sent the request.
    pub account: ClientAccount,
    /// The tier of the client account.
    pub tier: Tier,
    /// The time left until the deadline of the request when it was sent, in milliseconds.
    pub deadline_ms: u64,
    /// The estimate by the entry of the prompt tokens that the engine has to prefill.
    pub prefill_tokens: u32,
    /// The claim to take before the run; present when the request must not be repeated.
    pub claim: Option<ClaimKey>,
    /// The call to run.
    pub work: Work,
}
