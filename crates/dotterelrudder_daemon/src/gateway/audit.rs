//! One log line for each request, with what decided about it.

use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_gateway::Dialect;
use slog::info;
use slog::o;
use slog::warn;
use slog::Logger;

use super::server::EntryServer;

/// The reason told of a request whose caller didn't wait for the answer.
const CALLER_DISCONNECTED: &str = "the caller left before the answer began";

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
    /// The status of the answer; 0 while there is none.
    pub(super) status: u16,
    /// Why it is no success, or empty.
    pub(super) reason: CompactString,
    /// The time until the answer began.
    pub(super) took: Duration,
}

impl RequestAudit {
    /// Writes the line; those of failures go before others when a reader is slow.
    pub(super) fn write(&self, log: &Logger, confirmation_age: Option<Duration>) {
        let age = confirmation_age.map_or(-1, |a| a.as_millis() as i64);
        let fields = o!("id" => self.id.to_string(), "route" => self.route.to_string(),
            "service" => self.service.to_string(), "version" => self.version,
            "confirmed_ms_ago" => age, "attempts" => self.attempts.join("; "),
            "status" => self.status, "reason" => self.reason.to_string(),
            "took_ms" => self.took.as_millis() as u64);
        let log = log.new(fields);
        if self.is_routine() {
            info!(log, "request");
        } else {
            warn!(log, "request");
        }
    }

    /// Returns whether the request was answered at its first attempt.
    pub(super) fn is_routine(&self) -> bool {
        (200..400).contains(&self.status) && self.reason.is_empty() && self.attempts.len() <= 1
    }
}

/// Writes a request's line when its serving ends, also when that is because the caller left.
pub(super) struct AuditGuard<'a, D>
where
    D: Dialect,
{
    pub(super) server: &'a EntryServer<D>,
    pub(super) audit: RequestAudit,
    pub(super) began: Duration,
}

impl<D> Drop for AuditGuard<'_, D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        if self.audit.status == 0 {
            self.audit.reason = CALLER_DISCONNECTED.into();
        }
        self.audit.took = self.server.now().saturating_sub(self.began);
        self.server.finish_audit(&self.audit);
    }
}
