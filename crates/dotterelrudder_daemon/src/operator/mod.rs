//! The operators' command.

mod arguments;
mod client;
mod commands;
mod files;

pub use commands::run;
