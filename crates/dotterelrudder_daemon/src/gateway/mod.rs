//! The daemon of an entry that calls backend servers itself; see docs/design/platform.md.

mod answer_buffers;
mod answer_limits;
mod answer_start;
mod attempt;
mod attempt_loop;
mod audit;
mod bodies;
mod byte_limit;
mod connection_pool;
mod daemon;
mod entry_file;
mod refusals;
mod request;
mod response_body;
mod server;
mod state_metrics;
mod streaming;
mod upstream;

pub use answer_limits::AnswerLimits;
pub use byte_limit::ByteLimit;
pub use daemon::run_entry;
pub use entry_file::GatewayFile;
