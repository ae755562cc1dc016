//! Facts read from the head of a backend server's response.

use std::time::Duration;

use compact_str::CompactString;

use crate::AnswerLimit;

/// The fields of a response head that decide how the entry handles the response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BackendAnswerHead {
    /// The id of the request that the response belongs to.
    pub request_id: Option<CompactString>,
    /// Whether the head carries the backend server's signature. A response without it does not
    /// count as one of the backend server.
    pub signed: bool,
    /// Whether the head states that the request was not run and will not be run.
    pub not_run: bool,
    /// The backoff that the backend server requests, if it did not run the request.
    pub requested_backoff: Option<Duration>,
    /// The request limit that the backend server names.
    pub limit: AnswerLimit,
    /// Whether the backend server states that it is leaving and takes nothing new.
    pub leaving: bool,
    /// The identity of the runner that responded, if given.
    pub identity: Option<CompactString>,
    /// Whether the body has a content encoding, which was not requested.
    pub encoded: bool,
}
