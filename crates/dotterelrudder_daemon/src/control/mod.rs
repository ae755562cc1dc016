//! The control daemon.

mod actor;
mod daemon;
mod journal_file;
mod operators;

pub use daemon::run;
pub use journal_file::JournalFile;
