//! The entry role for entries that forward requests through sides: admission, placement, retries.
//!
//! [`EntryCore`] is the role as a state machine without input or output. docs/design/routing.md
//! compares the policies for choosing a runner, docs/design/retries.md those for retries.

mod account_limits;
mod cost;
mod entry_core;
mod input;
mod output;
pub mod prelude;
mod request;
mod retry_budget;
mod runner_state;
mod runner_table;

pub use account_limits::AccountLimits;
pub use cost::estimate_cost;
pub use cost::CostEstimate;
pub use cost::CostInputs;
pub use dotterelrudder_types::RoutingPolicy;
pub use entry_core::EntryCore;
pub use entry_core::EntrySettings;
pub use input::Input;
pub use input::Target;
pub use output::AnswerEvent;
pub use output::Output;
pub use retry_budget::RetryBudget;
pub use runner_state::RunnerState;
pub use runner_table::RunnerKey;
pub use runner_table::RunnerTable;
