//! A write to the journal, queued for the journal thread.

use dotterelrudder_control::Record;

/// A write to the journal, queued for the journal thread.
#[derive(Debug)]
pub enum JournalWrite {
    /// Appends encoded records.
    Append {
        /// Sequence number of the last record.
        sequence: u64,
        /// The records.
        bytes: Vec<u8>,
    },
    /// Replaces the whole journal.
    Rewrite {
        /// Sequence number to report once the new journal is synced.
        sequence: u64,
        /// The records.
        records: Vec<Record>,
    },
}

impl JournalWrite {
    /// Returns the number to report once the write is durable.
    pub fn sequence(&self) -> u64 {
        match self {
            Self::Append { sequence, .. } | Self::Rewrite { sequence, .. } => *sequence,
        }
    }
}
