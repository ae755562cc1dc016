//! How a request was delayed or refused while capacity was short, for its log line.

use std::time::Duration;

use slog::o;
use slog::Logger;

/// What became of a request that found no capacity at once.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ShortageNote {
    /// `delayed`, the cause of a refusal, or `waiting` until either is known.
    pub(super) admission: &'static str,
    /// The priority, 0 being the most urgent.
    pub(super) priority: u8,
    /// The client account; empty without one.
    pub(super) account: String,
    /// The work of the request, in tokens of memory x seconds.
    pub(super) work: f64,
    /// The wait that was expected at the first look.
    pub(super) expected: Duration,
    /// The number of requests that went before it at the first look.
    pub(super) ahead: usize,
    /// How long it waited.
    pub(super) waited: Duration,
    /// How long it could have waited, from the first look.
    pub(super) limit: Duration,
    /// The time after which the caller was told to return.
    pub(super) retry_after: Option<Duration>,
}

impl ShortageNote {
    /// Returns a logger with the fields of the note.
    pub(super) fn add_to(&self, log: &Logger) -> Logger {
        let retry_after = self.retry_after.map_or(-1, |r| r.as_millis() as i64);
        log.new(
            o!("admission" => self.admission, "priority" => self.priority,
            "account" => self.account.clone(), "work" => self.work as u64,
            "expected_wait_ms" => self.expected.as_millis() as u64, "ahead" => self.ahead,
            "waited_ms" => self.waited.as_millis() as u64,
            "wait_limit_ms" => self.limit.as_millis() as u64, "retry_after_ms" => retry_after),
        )
    }
}
