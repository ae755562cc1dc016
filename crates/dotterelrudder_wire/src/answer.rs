//! The numbered chunks of a response and the token usage of a completion.

use bytes::Bytes;
use dotterelrudder_types::AttemptId;
use serde::Deserialize;
use serde::Serialize;

/// One chunk of an attempt's response, numbered so that the receiver detects duplicates and gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerChunk {
    /// The attempt that the chunk belongs to.
    pub attempt: AttemptId,
    /// The position of the chunk in the response, from 0.
    pub number: u32,
    /// The text of one token of a completion, or a chunk of the body of a plain service's response.
    pub data: Bytes,
}

/// The token counts of a completion.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Tokens of the prompt that were served from KV cache instead of being prefilled.
    pub cached_tokens: u32,
}
