//! A caller's request as the gateway sees it.

use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::AccountKeyHash;

use crate::Prompt;

/// The fields read from the head of a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// The id that the caller gave to this attempt.
    pub id: CompactString,
    /// The host that the request names.
    pub host: CompactString,
    /// The request path without the query string.
    pub path: CompactString,
    /// The hash of the API key, if one was sent.
    pub key: Option<AccountKeyHash>,
    /// The time that the caller waits for the whole response.
    pub max_wait: Option<Duration>,
    /// The shape of the prompt, for a request to a model.
    pub prompt: Option<Prompt>,
    /// The id of the last event that the caller received of an earlier response to the same
    /// request.
    pub resume_after: Option<CompactString>,
    /// The id of the request that brought the stream's first event, if the caller takes it up again.
    pub resumes: Option<CompactString>,
}
