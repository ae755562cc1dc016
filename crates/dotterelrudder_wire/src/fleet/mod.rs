//! Messages about the whole deployment that the leading control instance exchanges with entries
//! and sides: fleet state, runners, their loads and request limits, stored parts; see docs/design/platform.md.

mod cache_salt;
mod directory_update;
mod fleet_query;
mod fleet_state;
mod limit_grants;
mod limit_report;
mod limit_update;
mod model_weights;
mod part_key;
mod runner_attributes;
mod runner_demand;
mod runner_grant;
mod runner_load;
mod runner_load_sample;
mod runner_load_update;
mod runner_record;
mod store_status;
mod stored_part;
mod weight_order;

pub use cache_salt::cache_salt;
pub use cache_salt::weights_of_salt;
pub use directory_update::DirectoryUpdate;
pub use directory_update::DIRECTORY_LEASE;
pub use directory_update::FETCH_LIMIT;
pub use fleet_query::FleetQuery;
pub use fleet_state::FleetState;
pub use limit_grants::LimitGrants;
pub use limit_report::LimitReport;
pub use limit_update::LimitUpdate;
pub use limit_update::MIN_LIMIT_RATE;
pub use limit_update::PERMIT_VALIDITY;
pub use limit_update::RESERVED_SHARE;
pub use model_weights::ModelWeights;
pub use part_key::PartKey;
pub use runner_attributes::RunnerAttributes;
pub use runner_demand::RunnerDemand;
pub use runner_grant::RunnerGrant;
pub use runner_load::RunnerLoad;
pub use runner_load_sample::RunnerLoadSample;
pub use runner_load_update::RunnerLoadUpdate;
pub use runner_record::RunnerRecord;
pub use store_status::StoreStatus;
pub use stored_part::StoredPart;
pub use weight_order::WeightOrder;
