//! What control tells of the whole deployment: see docs/design/platform.md.

mod fleet_view;
mod follow;
mod model_weights;
mod runner_load;
mod runner_row;
mod weight_order;

pub use fleet_view::FleetView;
pub use follow::Follow;
pub use model_weights::ModelWeights;
pub use runner_load::RunnerLoad;
pub use runner_row::RunnerRow;
pub use weight_order::WeightOrder;
