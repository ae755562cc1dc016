//! The audit trail of changes.

use compact_str::CompactString;
use dotterelrudder_types::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Rows kept; older ones leave first.
const MAX_ROWS: usize = 10_000;

/// One row: who asked for what, when, against which revision, and what came of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditRow {
    /// The log entry that holds the change.
    pub index: u64,
    /// When, in milliseconds of the wall clock of the replica that took the change.
    pub at_ms: u64,
    /// Who asked.
    pub author: CompactString,
    /// The change's id.
    pub change_id: CompactString,
    /// The revision that the change was made against.
    pub base: Revision,
    /// What came of it: accepted, conflict, resent or refused.
    pub outcome: CompactString,
    /// What changes, a line for each declaration.
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
