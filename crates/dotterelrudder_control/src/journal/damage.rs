//! What can be wrong with a journal.

/// Why a journal couldn't be read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Damage {
    /// The file ends within a record, as after a crash during an unsynced write.
    TornTail {
        /// Where the incomplete record begins.
        offset: u64,
    },
    /// A whole record has a wrong checksum: synced data changed.
    Corrupt {
        /// Where the record begins.
        offset: u64,
    },
}
