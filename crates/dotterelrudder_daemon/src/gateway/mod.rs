//! The daemon of an entry that calls backend servers itself; see docs/design/platform.md.

mod answer_limits;
mod attempt;
mod audit;
mod beliefs;
mod bodies;
mod byte_limit;
mod daemon;
mod entry_file;
mod first_part;
mod gathering;
mod job;
mod offering;
mod pool;
mod refusals;
mod relay;
mod serving;
mod streaming;
mod upstream;

pub use answer_limits::AnswerLimits;
pub use byte_limit::ByteLimit;
pub use daemon::run_entry;
pub use entry_file::GatewayFile;
