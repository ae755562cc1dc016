//! What an entry knows of each runner: its record, its load reports and its weights.

mod named_weights;
mod runner_state;
mod runner_table;

pub use named_weights::NamedWeights;
pub use runner_state::RunnerState;
pub use runner_table::RunnerKey;
pub use runner_table::RunnerTable;
