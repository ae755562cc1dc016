//! Who is served, who waits and who is refused.
//!
//! Load pattern: more requests arrive than the runners have room for, and callers that failed
//! return. The most urgent requests get room first, repeats draw on a shared budget, and a request
//! that cannot be served is refused with the time after which its caller may return.
//!
//! Load pattern: demand exceeds the capacity for many seconds. With the setting `overload_control` the
//! shortage queue delays and refuses the requests that cost their callers least.

mod account_shares;
mod admission_verdict;
mod admitted_request;
mod capacity_demand;
mod capacity_rate;
mod confirmed_lease;
mod not_placed;
mod retry_budget;
mod returning_callers;
mod service_shortage;
mod shortage_queue;
mod stop_deadline;
mod wait_queue;

pub use account_shares::AccountShares;
pub use admission_verdict::AdmissionVerdict;
pub use admission_verdict::RefusalCause;
pub use admitted_request::Admission;
pub use capacity_demand::CapacityDemand;
pub use capacity_rate::CapacityRate;
pub use confirmed_lease::ConfirmedLease;
pub use not_placed::NotPlaced;
pub use retry_budget::RetryBudget;
pub use returning_callers::ReturningCallers;
pub(crate) use service_shortage::ServiceShortage;
pub use shortage_queue::ShortageQueue;
pub use stop_deadline::StopDeadline;
pub use wait_queue::CapacityRequest;
pub use wait_queue::WaitQueue;
