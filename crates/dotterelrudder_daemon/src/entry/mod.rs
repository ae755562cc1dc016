//! The entry daemon: the OpenAI-style HTTP interface to callers and the I/O round the entry core.

mod actor;
mod caller_response;
mod daemon;
mod openai_format;
mod request_handler;

pub use daemon::run;
