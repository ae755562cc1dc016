//! Reasons for which a request is not sent to a runner now.

use dotterelrudder_types::Refusal;

/// Why a request was not placed.
#[derive(Debug, Clone, PartialEq)]
pub enum NotPlaced {
    /// No runner has room at the moment; the request waits in the wait queue.
    Busy,
    /// No runner can take the request.
    Refused(Refusal),
}
