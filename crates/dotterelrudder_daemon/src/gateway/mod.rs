//! Entry daemon that calls backend servers itself, without a side beside them.
//!
//! `server` admits a request; `attempt_loop` waits for capacity, sends the request to runners and
//! fails over; `streaming` relays a stream and resumes it at another runner; `audit` writes one log
//! line per request. See docs/design/platform.md.

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
mod head_limit;
mod lost_connections;
mod origin_queries;
mod refusals;
mod request;
mod request_intake;
mod response_body;
mod send_mark;
mod server;
mod shortage;
mod shortage_note;
mod state_metrics;
mod stream_buffer;
mod streaming;
mod takeover;
mod upstream;
mod upstream_socket;

pub use answer_limits::AnswerLimits;
pub use byte_limit::ByteLimit;
pub use daemon::run_entry;
pub use entry_file::GatewayFile;
pub use head_limit::HeadLimit;
pub use upstream_socket::UnreadCheck;
pub use upstream_socket::UpstreamSocket;
