//! The operators' command line `dotterelrudder`.

mod arguments;
mod commands;
mod control_client;
mod input_files;

pub use commands::run;
