//! What the head of a backend server's answer says.

use std::time::Duration;

use compact_str::CompactString;

/// The facts that decide what becomes of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BackendAnswerHead {
    /// The request that the answer belongs to.
    pub request_id: Option<CompactString>,
    /// Whether it carries the backend server's signature, without which it is no answer of its.
    pub signed: bool,
    /// Whether it says that the request was not run and never will be.
    pub not_run: bool,
    /// How long the backend server asks to be sent nothing, where it didn't run the request.
    pub requested_backoff: Option<Duration>,
    /// The start of the backend server that answered, where it tells.
    pub identity: Option<CompactString>,
    /// Whether the body has an encoding that nobody asked for.
    pub encoded: bool,
}
