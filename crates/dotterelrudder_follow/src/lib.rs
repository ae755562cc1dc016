//! Clients of control that run in other processes, without I/O: they follow the configuration and
//! the leading control instance, and send commands.
//!
//! Entries and sides both hold a [`ConfigFollower`]; see docs/design/dissemination.md.

mod config_follower;
mod control_client;
mod fleet_follower;
mod runner_load_table;

pub use config_follower::ConfigFollower;
pub use control_client::ControlClient;
pub use fleet_follower::FleetFollower;
pub use runner_load_table::RunnerLoadTable;
