//! The control daemon.

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
