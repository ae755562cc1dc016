//! The side daemon: the I/O round the side core, with HTTP clients for its backend server.

mod actor;
mod daemon;
mod engine_client;
mod plain_service_client;
mod store_client;

pub use daemon::run;
