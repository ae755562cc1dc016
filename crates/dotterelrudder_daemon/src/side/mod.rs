//! The side daemon.

mod actor;
mod daemon;
mod engine;
mod plain;
mod store;

pub use daemon::run;
