//! Estimated time to the first token of a request at a runner, with the inputs of the estimate.

use std::time::Duration;

/// The estimated time to the first token of a request at a runner, and the inputs that it was
/// computed from.
///
/// The inputs are kept for logs and for comparison with the measured time; see
/// [docs/design/waiting.md](../../../../docs/design/waiting.md).
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FirstTokenEstimate {
    /// The estimated time to the first token.
    pub expected: Duration,
    /// Prompt tokens that the runner processes before those of this request.
    pub backlog: f64,
    /// Prompt tokens of this request that the runner has to prefill. Tokens that are fetched or
    /// probably in the runner's cache are subtracted, so the value may be negative.
    pub unread: f64,
    /// The transfer time of the shared parts on an idle link, if all of them are stored.
    pub fetch: Option<Duration>,
    /// Requests in the runner's batch and queue.
    pub batch: f64,
    /// The runner's memory utilisation including this request, as a share of the total.
    pub memory: f64,
}
