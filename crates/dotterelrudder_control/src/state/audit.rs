//! The audit trail of configuration, weight and drain changes.

use compact_str::CompactString;
use dotterelrudder_types::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of rows; the oldest tenth is dropped when it is reached.
const MAX_ROWS: usize = 10_000;

/// One audited change: its author, time, base revision, content and outcome.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditRow {
    /// Index of the log entry that holds the change.
    pub index: u64,
    /// Wall-clock time of the replica that logged the change, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Author of the change.
    pub author: CompactString,
    /// The caller's id of the change; empty for changes without one.
    pub change_id: CompactString,
    /// Revision or version that the change was made against.
    pub base: Revision,
    /// Outcome: `accepted`, `conflict`, `resent`, `refused` or `not newer`.
    pub outcome: CompactString,
    /// Description of the change, one line per declaration.
    pub lines: Vec<String>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct AuditTrail {
    rows: Vec<AuditRow>,
}

impl AuditTrail {
    pub(super) fn rows(&self) -> &[AuditRow] {
        &self.rows
    }

    pub(super) fn push(&mut self, row: AuditRow) {
        if self.rows.len() >= MAX_ROWS {
            self.rows.drain(..MAX_ROWS / 10);
        }
        self.rows.push(row);
    }
}
