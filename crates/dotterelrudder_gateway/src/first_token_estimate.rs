//! What is expected of a runner for one request, with the inputs that the expectation rests on.

use std::time::Duration;

/// When a runner is expected to send the first token of a request, and why.
///
/// The inputs are kept so that logs can tell them, and so that they can be checked against what
/// was then seen; see [docs/design/waiting.md](../../../docs/design/waiting.md).
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FirstTokenEstimate {
    /// The expected time to the first token.
    pub expected: Duration,
    /// Prompt tokens that the runner reads before those of this request.
    pub backlog: f64,
    /// Prompt tokens that the runner has to read of this request; fetches and what its memory is
    /// thought to hold are taken off, so that it may be negative.
    pub unread: f64,
    /// How long fetching the shared parts takes alone, when all of them are stored.
    pub fetch: Option<Duration>,
    /// Requests in the runner's batch and queue.
    pub batch: f64,
    /// The share of the runner's memory in use with this request in it.
    pub memory: f64,
}
