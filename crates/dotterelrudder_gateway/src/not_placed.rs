//! Why a request isn't sent to a runner now.

use dotterelrudder_types::Refusal;

/// What becomes of a request that no runner takes now.
#[derive(Debug, Clone, PartialEq)]
pub enum NotPlaced {
    /// There is no room, but there will be: the request waits.
    Busy,
    /// No runner can take it.
    Refused(Refusal),
}
