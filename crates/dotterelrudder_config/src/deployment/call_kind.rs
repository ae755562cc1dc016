//! What may be repeated.

use serde::Deserialize;
use serde::Serialize;

/// How a route's requests may be treated after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// The request may run more than once.
    Repeatable,
    /// The request runs once at most.
    AtMostOnce,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another run may go on behind the last event that the caller has.
        resumable: bool,
    },
}

impl CallKind {
    /// Returns whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
