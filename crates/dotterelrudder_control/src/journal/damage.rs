//! The kinds of damage that recovery finds in a journal.

/// The reason why a journal could not be read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Damage {
    /// The file ends within a record or in zeros, as after a crash during an unsynced write.
    TornTail {
        /// The offset in the file, in bytes, at which the incomplete record begins.
        offset: u64,
    },
    /// The checksum, the length or the encoding of a record is wrong: synced data changed.
    Corrupt {
        /// The offset in the file, in bytes, at which the record begins.
        offset: u64,
    },
}
