//! A caller's request as the gateway sees it.

use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::AccountKeyHash;

use crate::Prompt;

/// What a caller asks for, read from the head of its request.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// The identity of the caller's attempt.
    pub id: CompactString,
    /// The host that the request names.
    pub host: CompactString,
    /// The path that it names, without a query.
    pub path: CompactString,
    /// The hash of the key that it presents.
    pub key: Option<AccountKeyHash>,
    /// How long the caller waits for the whole answer.
    pub max_wait: Option<Duration>,
    /// The prompt, for a model's request.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has of an earlier answer to the same request.
    pub resume_after: Option<CompactString>,
}
