//! The side daemon.

mod actor;
mod daemon;
mod engine_client;
mod plain_service_client;
mod store_client;

pub use daemon::run;
