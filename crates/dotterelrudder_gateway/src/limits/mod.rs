//! How many requests a runner gets from all entries together.
//!
//! Load pattern: a runner takes fewer requests than all entries would send it. Entries send such a
//! runner requests only with permits of the leading control instance; see
//! docs/design/runner-limits.md.

mod answer_limit;
mod applied_limit;
mod entry_count;
mod limit_reports;
mod limit_reserve;
mod permit_wait;
mod runner_limit;

pub use answer_limit::AnswerLimit;
pub use applied_limit::AppliedLimit;
pub(crate) use entry_count::EntryCount;
pub(crate) use limit_reports::LimitReports;
pub(crate) use limit_reserve::LimitReserve;
pub use permit_wait::PermitWait;
pub use runner_limit::RunnerLimit;
