//! Who is served, who waits and who is refused.
//!
//! Load pattern: more requests arrive than the runners have room for, and callers that failed
//! return. The most urgent requests get room first, repeats draw on a shared budget, and a request
//! that cannot be served is refused with the time after which its caller may return.

mod admitted_request;
mod confirmed_lease;
mod not_placed;
mod retry_budget;
mod stop_deadline;
mod wait_queue;

pub use admitted_request::Admission;
pub use confirmed_lease::ConfirmedLease;
pub use not_placed::NotPlaced;
pub use retry_budget::RetryBudget;
pub use stop_deadline::StopDeadline;
pub use wait_queue::CapacityRequest;
pub use wait_queue::WaitQueue;
