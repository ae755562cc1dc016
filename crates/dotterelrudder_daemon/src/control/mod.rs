//! The control daemon.

mod actor;
mod daemon;
mod journal_file;
mod operators;
mod replica;
mod standing;

pub use daemon::run;
pub use journal_file::JournalFile;
pub use replica::Replica;
pub use standing::ControlStanding;
