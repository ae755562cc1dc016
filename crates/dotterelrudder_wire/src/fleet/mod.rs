//! What control tells of the whole deployment: see docs/design/platform.md.

mod cache_salt;
mod directory_update;
mod fleet_view;
mod follow;
mod load_news;
mod model_weights;
mod part_key;
mod runner_load;
mod runner_reading;
mod runner_row;
mod runner_traits;
mod store_standing;
mod stored_part;
mod weight_order;

pub use cache_salt::cache_salt;
pub use cache_salt::weights_of_salt;
pub use directory_update::DirectoryUpdate;
pub use directory_update::DIRECTORY_LEASE;
pub use directory_update::FETCH_LIMIT;
pub use fleet_view::FleetView;
pub use follow::Follow;
pub use load_news::LoadNews;
pub use model_weights::ModelWeights;
pub use part_key::PartKey;
pub use runner_load::RunnerLoad;
pub use runner_reading::RunnerReading;
pub use runner_row::RunnerRow;
pub use runner_traits::RunnerTraits;
pub use store_standing::StoreStanding;
pub use stored_part::StoredPart;
pub use weight_order::WeightOrder;
