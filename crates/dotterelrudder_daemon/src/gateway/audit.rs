//! The log line of each request, with its route, attempts and result.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_gateway::Dialect;
use slog::info;
use slog::o;
use slog::warn;
use slog::Logger;

use super::server::EntryServer;
use super::shortage_note::ShortageNote;

/// The logged reason if the caller disconnected before the response started.
const CALLER_DISCONNECTED: &str = "the caller disconnected before the response started";

/// The reason of a request that ended by a fault of the entry.
pub(super) const HANDLER_PANICKED: &str = "the handler of the request panicked";

/// The fields of a request's log line.
#[derive(Debug, Default)]
pub(super) struct RequestAudit {
    /// The id of the caller's request.
    pub(super) id: CompactString,
    /// The name of the matched route; empty if none matched.
    pub(super) route: CompactString,
    /// The service that the request was admitted to; empty if it was not admitted.
    pub(super) service: CompactString,
    /// The version of the configuration that was in force at admission.
    pub(super) version: u64,
    /// The description of each attempt at a runner.
    pub(super) attempts: Vec<String>,
    /// The HTTP status of the response; 0 until the response starts.
    pub(super) status: u16,
    /// The reason of a failure; empty on success.
    pub(super) reason: CompactString,
    /// The time until the response started.
    pub(super) took: Duration,
    /// How the request was delayed or refused while capacity was short.
    pub(super) shortage: Arc<Mutex<Option<ShortageNote>>>,
}

impl RequestAudit {
    /// Writes the line. Failures are logged as warnings, which take precedence over other lines when
    /// the reader of the log is slow.
    pub(super) fn write(&self, log: &Logger, confirmation_age: Option<Duration>) {
        let age = confirmation_age.map_or(-1, |a| a.as_millis() as i64);
        let fields = o!("id" => self.id.to_string(), "route" => self.route.to_string(),
            "service" => self.service.to_string(), "version" => self.version,
            "confirmed_ms_ago" => age, "attempts" => self.attempts.join("; "),
            "status" => self.status, "reason" => self.reason.to_string(),
            "took_ms" => self.took.as_millis() as u64);
        let log = log.new(fields);
        let shortage = self.shortage.lock().unwrap_or_else(|e| e.into_inner());
        let log = shortage.as_ref().map_or(log.clone(), |s| s.add_to(&log));
        drop(shortage);
        if self.is_routine() {
            info!(log, "request");
        } else {
            warn!(log, "request");
        }
    }

    /// Returns whether the request found no capacity at first.
    pub(super) fn is_delayed(&self) -> bool {
        let shortage = self.shortage.lock().unwrap_or_else(|e| e.into_inner());
        shortage.is_some()
    }

    /// Returns whether the request succeeded at its first attempt.
    pub(super) fn is_routine(&self) -> bool {
        (200..400).contains(&self.status) && self.reason.is_empty() && self.attempts.len() <= 1
    }
}

/// Writes the log line of a request when dropped, also if the caller disconnected.
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
            let is_panicking = std::thread::panicking();
            let reason = if is_panicking {
                HANDLER_PANICKED
            } else {
                CALLER_DISCONNECTED
            };
            self.audit.reason = reason.into();
        }
        self.audit.took = self.server.now().saturating_sub(self.began);
        self.server.finish_audit(&self.audit);
    }
}
