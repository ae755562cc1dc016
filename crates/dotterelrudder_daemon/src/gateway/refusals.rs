//! What a caller is told of a request that no runner answered.

use super::request::AttemptLog;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Outcome;
use dotterelrudder_types::Refusal;

/// The refusal once the time is up.
pub(super) fn timeout_refusal(log: &AttemptLog) -> Refusal {
    if log.tried.is_empty() {
        return Refusal::new(
            ErrorKind::Overloaded,
            "the time was up before a runner was asked",
        );
    }
    let detail = "the time was up before an answer came";
    Refusal::new(ErrorKind::DeadlineExceeded, detail).with_outcome(Outcome::Unknown)
}

pub(super) fn placement_refusal(refusal: Refusal, log: &AttemptLog) -> Refusal {
    if log.may_have_run == 0 {
        return refusal;
    }
    Refusal::new(ErrorKind::BackendFailed, refusal.detail)
}

pub(super) fn failure_refusal(kind: ErrorKind, reason: String, log: &AttemptLog) -> Refusal {
    let kind = if log.may_have_run > 0 {
        ErrorKind::BackendFailed
    } else {
        kind
    };
    Refusal::new(kind, reason)
}
