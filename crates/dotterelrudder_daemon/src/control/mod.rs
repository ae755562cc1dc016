//! The control daemon: the actor that drives the control core, the journal file, and the operators'
//! API of a deployment whose control instances are listed in the settings.

mod actor;
mod daemon;
mod journal_file;
mod operator_api;
mod replica;
mod replication_status;

pub use daemon::run;
pub use journal_file::JournalFile;
pub use replica::Replica;
pub use replication_status::ReplicationStatus;
