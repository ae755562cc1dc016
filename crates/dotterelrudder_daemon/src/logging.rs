//! Logs as JSON lines on standard output; never a prompt, a key or an answer.

use slog::o;
use slog::Drain;
use slog::Logger;

/// Lines that wait for a slow reader before new ones are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Builds the logger of a daemon.
pub fn logger(role: &'static str, name: &str) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .build()
        .fuse();
    Logger::root(drain, o!("role" => role, "instance" => name.to_owned()))
}
