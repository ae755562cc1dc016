//! The daemon of an entry that calls backend servers itself; see docs/design/platform.md.

mod attempt;
mod audit;
mod daemon;
mod entry_file;
mod listener;
mod pool;
mod relay;
mod serving;
mod upstream;

pub use daemon::run_entry;
pub use entry_file::GatewayFile;
