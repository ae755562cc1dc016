//! Which runners answer, and which requests make them fail.
//!
//! Load pattern: runners fall silent, fail a part of their requests, or are crashed by a request
//! that callers repeat. A runner is judged by its answers and reports, a request by the runners
//! that ended while they ran it.

mod beginnings;
mod failure_detector;
mod part_watch;
mod request_fingerprint;
mod request_traits;
mod run_outcome;
mod runner_condition;
mod runner_health;
mod suspicion_change;

pub(crate) use beginnings::Beginnings;
pub use failure_detector::FailureDetector;
pub use part_watch::PartWatch;
pub(crate) use part_watch::LOSS_TTL;
pub use part_watch::PART_REPORT_INTERVAL;
pub use request_fingerprint::RequestFingerprint;
pub use request_traits::RequestTraits;
pub use run_outcome::RunOutcome;
pub use runner_condition::RunnerCondition;
pub use runner_health::RunnerHealth;
pub use suspicion_change::SuspicionChange;
