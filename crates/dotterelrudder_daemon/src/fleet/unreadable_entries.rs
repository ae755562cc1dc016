//! Logs each unreadable entry and each other fault of the platform's list once.

use std::collections::HashSet;

use slog::warn;
use slog::Logger;

use crate::json_list::UnreadableEntry;

/// Largest number of entries and faults that are logged, so that entries that change all the time
/// don't fill the log.
const MAX_LOGGED: usize = 256;

/// The unreadable entries and other faults that were logged.
#[derive(Debug, Default)]
pub(crate) struct UnreadableEntries {
    logged: HashSet<u64>,
}

impl UnreadableEntries {
    /// Logs the entries that were not logged before.
    pub(crate) fn log(&mut self, log: &Logger, entries: &[UnreadableEntry]) {
        for entry in entries {
            if self.is_due(log, entry.digest) {
                warn!(log, "entry of the instance list is left out";
                    "entry" => &entry.excerpt, "reason" => &entry.reason);
            }
        }
    }

    /// Logs why a reading is incomplete, if that was not logged before.
    pub(super) fn log_fault(&mut self, log: &Logger, fault: &str, readable: usize) {
        let digest = UnreadableEntry::new(fault.as_bytes(), fault).digest;
        if self.is_due(log, digest) {
            warn!(log, "instance list is incomplete, runners that it lacks are kept";
                "fault" => fault, "readable" => readable);
        }
    }

    fn is_due(&mut self, log: &Logger, digest: u64) -> bool {
        if self.logged.len() >= MAX_LOGGED || !self.logged.insert(digest) {
            return false;
        }
        if self.logged.len() == MAX_LOGGED {
            warn!(log, "further faults of the instance list are not logged");
        }
        true
    }
}
