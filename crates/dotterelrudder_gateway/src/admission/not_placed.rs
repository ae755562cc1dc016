//! Reasons for which a request is not sent to a runner now.

use dotterelrudder_types::Refusal;

use crate::PermitWait;

/// Why a request was not placed.
#[derive(Debug, Clone, PartialEq)]
pub enum NotPlaced {
    /// No runner has room at the moment; the request waits in the wait queue.
    Busy,
    /// All open runners have a request limit, and there is no permit.
    Limited(PermitWait),
    /// No runner can take the request.
    Refused(Refusal),
}
