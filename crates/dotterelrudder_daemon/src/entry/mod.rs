//! The entry daemon.

mod actor;
mod answers;
mod callers;
mod daemon;
mod openai;

pub use daemon::run;
