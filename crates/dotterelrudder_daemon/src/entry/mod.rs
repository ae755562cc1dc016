//! The entry daemon.

mod actor;
mod caller_response;
mod daemon;
mod openai_format;
mod request_handler;

pub use daemon::run;
