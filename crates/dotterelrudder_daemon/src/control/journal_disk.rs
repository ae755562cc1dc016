//! The operations of a journal that a full or faulty disk refuses.

use dotterelrudder_control::Record;

use super::JournalFile;

/// A journal on a disk; tests replace it by one that refuses operations.
pub trait JournalDisk {
    /// Appends encoded records; they are durable after the next sync.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk. A part of the bytes may be in the journal, so that
    /// [`JournalDisk::truncate_to_synced`] must succeed before the next append.
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()>;

    /// Makes all appended records durable.
    ///
    /// # Errors
    ///
    /// As [`JournalDisk::append`].
    fn sync(&mut self) -> std::io::Result<()>;

    /// Truncates the journal to its length at the last sync.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk.
    fn truncate_to_synced(&mut self) -> std::io::Result<()>;

    /// Replaces the whole journal, durably.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk. The journal is then the old or the new one.
    fn rewrite(&mut self, records: &[Record]) -> std::io::Result<()>;
}

impl JournalDisk for JournalFile {
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        Self::append(self, bytes)
    }

    fn sync(&mut self) -> std::io::Result<()> {
        Self::sync(self)
    }

    fn truncate_to_synced(&mut self) -> std::io::Result<()> {
        Self::truncate_to_synced(self)
    }

    fn rewrite(&mut self, records: &[Record]) -> std::io::Result<()> {
        Self::rewrite(self, records)
    }
}
