//! The load tool: drives real entries as callers would and checks every answer.

mod caller;
mod calls;
mod once;
mod report;
mod returning;
mod steady;
mod subscribers;
mod tier_report;
mod workload;

pub use caller::Caller;
pub use caller::Completion;
pub use caller::Outcome;
pub use calls::run_calls;
pub use calls::CallsPlan;
pub use once::run_once;
pub use report::Report;
pub use returning::run_returning;
pub use returning::ReturningPlan;
pub use steady::run_steady;
pub use steady::SteadyPlan;
pub use subscribers::run_subscribers;
pub use tier_report::TierReport;
pub use workload::run_workload;
pub use workload::Flow;
pub use workload::Workload;
