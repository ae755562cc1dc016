//! One log line for each request, with what decided about it.

use std::time::Duration;

use compact_str::CompactString;
use slog::info;
use slog::Logger;

/// What is told of a request when its answer is decided.
#[derive(Debug, Default)]
pub(super) struct RequestAudit {
    /// The identity of the caller's attempt.
    pub(super) id: CompactString,
    /// The route.
    pub(super) route: CompactString,
    /// The service that takes it.
    pub(super) service: CompactString,
    /// The version of the configuration that decided.
    pub(super) version: u64,
    /// One item for each attempt at a runner.
    pub(super) attempts: Vec<String>,
    /// The status of the answer.
    pub(super) status: u16,
    /// Why it is no success, or empty.
    pub(super) reason: CompactString,
    /// The time until the answer began.
    pub(super) took: Duration,
}

impl RequestAudit {
    /// Writes the line.
    pub(super) fn write(&self, log: &Logger, confirmation_age: Option<Duration>) {
        let age = confirmation_age.map_or(-1, |a| a.as_millis() as i64);
        info!(log, "request"; "id" => self.id.as_str(), "route" => self.route.as_str(),
            "service" => self.service.as_str(), "version" => self.version,
            "confirmed_ms_ago" => age, "attempts" => self.attempts.join("; "),
            "status" => self.status, "reason" => self.reason.as_str(),
            "took_ms" => self.took.as_millis() as u64);
    }
}
