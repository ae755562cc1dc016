//! Refusals of requests that no runner responded to.

use super::request::AttemptLog;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Outcome;
use dotterelrudder_types::Refusal;

/// Builds the refusal of a request whose deadline passed.
pub(super) fn timeout_refusal(log: &AttemptLog) -> Refusal {
    if log.withdraw() {
        return Refusal::new(
            ErrorKind::Overloaded,
            "the request deadline passed before a runner took the request",
        );
    }
    let detail = "the request deadline passed before an answer arrived";
    Refusal::new(ErrorKind::DeadlineExceeded, detail).with_outcome(Outcome::Unknown)
}

/// Builds the refusal of a request that was not placed. After an attempt that may have run, it is a
/// backend failure.
pub(super) fn placement_refusal(refusal: Refusal, log: &AttemptLog) -> Refusal {
    if log.may_have_run == 0 {
        return refusal;
    }
    Refusal::new(ErrorKind::BackendFailed, refusal.detail)
}

/// Builds the refusal of a request whose attempts failed. After an attempt that may have run, it is a
/// backend failure.
pub(super) fn failure_refusal(kind: ErrorKind, reason: String, log: &AttemptLog) -> Refusal {
    let kind = if log.may_have_run > 0 {
        ErrorKind::BackendFailed
    } else {
        kind
    };
    Refusal::new(kind, reason)
}
