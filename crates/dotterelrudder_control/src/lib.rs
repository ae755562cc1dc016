//! The replicated log, its state machine and the control role.
//!
//! [`ControlCore`] is the whole role without any I/O: it handles one [`Input`] at a given time and
//! appends the resulting [`Output`]s to a list. docs/design/replicated-log.md describes the log.

mod control_core;
mod demand;
mod fleet;
mod input;
mod journal;
mod order_planner;
mod output;
pub mod prelude;
mod proposals;
mod raft;
mod state;
mod status;
mod stream_origins;
mod subscribers;

pub use control_core::ControlCore;
pub use control_core::ControlSettings;
pub use fleet::CacheDirectory;
pub use fleet::ColdRunners;
pub use fleet::FreePartsOrder;
pub use fleet::LimitLedger;
pub use fleet::PartLedger;
pub use fleet::StoreEvent;
pub use fleet::StoreReport;
pub use fleet::WeightRollout;
pub use input::Input;
pub use input::Origin;
pub use journal::read_journal;
pub use journal::Damage;
pub use journal::Record;
pub use journal::Recovered;
pub use output::Output;
pub use raft::ChangeBlocker;
pub use raft::Raft;
pub use raft::RaftOutput;
pub use raft::RaftTiming;
pub use state::AuditRow;
pub use state::ReplicatedState;
pub use status::ControlStatus;
pub use status::InstanceStatus;
pub use stream_origins::StreamOrigins;
