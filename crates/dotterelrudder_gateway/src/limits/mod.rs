//! How many requests a runner gets from all entries together.
//!
//! Load pattern: a runner takes fewer requests than all entries would send it, since it is in need or
//! has just started and is cold. Entries send such a runner requests only with permits of the leading
//! control instance; see docs/design/runner-limits.md and docs/design/cold-runners.md.

mod answer_limit;
mod applied_limit;
mod cold_reserve;
mod entry_count;
mod limit_reports;
mod limit_reserve;
mod pause_detector;
mod permit_wait;
mod runner_limit;
mod slow_start;
mod warm_up_limit;

pub use answer_limit::AnswerLimit;
pub use applied_limit::AppliedLimit;
pub(crate) use cold_reserve::ColdReserve;
pub(crate) use entry_count::EntryCount;
pub(crate) use limit_reports::LimitReports;
pub(crate) use limit_reserve::LimitReserve;
pub(crate) use pause_detector::PauseDetector;
pub use permit_wait::PermitWait;
pub use runner_limit::RunnerLimit;
pub use slow_start::SlowStart;
pub(crate) use warm_up_limit::WarmUpLimit;
