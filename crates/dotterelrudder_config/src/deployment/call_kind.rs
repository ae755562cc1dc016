//! Whether the requests of a route may be retried, and whether their responses are streams.

use serde::Deserialize;
use serde::Serialize;

/// The kind of a route's requests, which decides how they may be retried after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// The request is idempotent: it may run more than once.
    Repeatable,
    /// The request runs at most once, so it is not sent again if it may have run.
    AtMostOnce,
    /// The response is a stream of numbered events.
    Stream {
        /// Whether another run may resume the stream after the last event that the caller received.
        resumable: bool,
    },
}

impl CallKind {
    /// Returns whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
