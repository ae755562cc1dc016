//! Parts of an answer.

use bytes::Bytes;
use dotterelrudder_types::AttemptId;
use serde::Deserialize;
use serde::Serialize;

/// A part of an attempt's answer, numbered so that repeats and gaps show.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerChunk {
    /// The attempt.
    pub attempt: AttemptId,
    /// The part's number, from 0.
    pub number: u32,
    /// The text of one token, or a chunk of a body.
    pub data: Bytes,
}

/// The tokens that a completion used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Tokens of the prompt whose KV cache was reused.
    pub cached_tokens: u32,
}
