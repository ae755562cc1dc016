//! The control and side daemons of a fleet: a deployment whose instances discover each other from
//! seed addresses. Also the follower that entries and sides use to track the leading control
//! instance; see docs/design/platform.md.

mod control;
mod control_file;
mod dialects;
mod follower;
mod follower_actor;
mod list_poller;
mod origin_reply;
mod runner_list;
mod runner_watcher;
mod seeds;
mod side;
mod side_file;
mod store_reader;
mod unreadable_entries;

pub use control::run_control;
pub use control::OperatorPort;
pub use control_file::FleetControlFile;
pub use dialects::ListDialect;
pub use dialects::ListPage;
pub use dialects::OrderAnswer;
pub use dialects::OrderCall;
pub use dialects::RunnerDialect;
pub use dialects::RunnerReport;
pub use dialects::StoreChanges;
pub use dialects::StoreContents;
pub use dialects::StoreDialect;
pub use follower::start_follower;
pub use follower::FleetUpdate;
pub use follower::FollowerHandle;
pub use follower::FollowerStart;
pub(crate) use follower_actor::ORIGIN_COPIES;
pub use origin_reply::OriginReply;
pub use runner_list::RunnerList;
pub use seeds::link_name;
pub use seeds::Seeds;
pub use side::run_side;
pub use side_file::FleetSideFile;
pub(crate) use unreadable_entries::UnreadableEntries;
