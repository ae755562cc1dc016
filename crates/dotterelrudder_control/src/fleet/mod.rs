//! The leader's soft state of the deployment, kept outside the log: fleet clients, the platform's
//! list of backend servers, runner loads, request limits, cold runners, parts that crash runners, the directory of stored parts, and the weight rollout;
//! see docs/design/platform.md.

mod cache_directory;
mod cold_runners;
mod fleet_client;
mod fleet_publisher;
mod free_parts_order;
mod limit_ledger;
mod part_ledger;
mod part_suspects;
mod recent_starts;
mod store_event;
mod store_report;
mod store_state;
mod weight_rollout;

pub use cache_directory::CacheDirectory;
pub use cold_runners::ColdRunners;
pub(crate) use fleet_publisher::FleetPublisher;
pub use free_parts_order::FreePartsOrder;
pub use limit_ledger::LimitLedger;
pub use part_ledger::PartLedger;
use recent_starts::RecentStarts;
pub use store_event::StoreEvent;
pub use store_report::StoreReport;
pub use weight_rollout::WeightRollout;
