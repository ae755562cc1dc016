//! The control daemon: the actor that drives the control core, the journal file, and the operators'
//! API of a deployment whose control instances are listed in the settings.

mod actor;
mod daemon;
mod held_change;
mod journal_disk;
mod journal_file;
mod journal_write;
mod journal_writer;
mod operator_api;
mod replica;
mod replication_status;

pub use daemon::run;
pub use held_change::HeldChange;
pub use journal_disk::JournalDisk;
pub use journal_file::JournalFile;
pub use journal_write::JournalWrite;
pub use journal_writer::JournalWriter;
pub use replica::Replica;
pub use replication_status::ReplicationStatus;
