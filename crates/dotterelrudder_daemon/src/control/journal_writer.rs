//! Writes queued records to the journal, and continues after the disk refused operations.

use super::JournalDisk;
use super::JournalWrite;

/// Writes to a journal. After a failed write its last bytes may be a part of a record; nothing is
/// appended before these are truncated, since records behind them would be read back as damage.
#[derive(Debug)]
pub struct JournalWriter<D> {
    disk: D,
    is_torn: bool,
}

impl<D> JournalWriter<D>
where
    D: JournalDisk,
{
    /// Wraps an open journal.
    pub fn new(disk: D) -> Self {
        Self {
            disk,
            is_torn: false,
        }
    }

    /// Tries to make queued writes durable. Those that are durable are taken out of `writes`, so that
    /// the rest can be tried again after an error. Returns the number of the last record.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk.
    pub fn write(&mut self, writes: &mut Vec<JournalWrite>) -> std::io::Result<u64> {
        let last = writes.last().map_or(0, JournalWrite::sequence);
        if self.is_torn {
            self.disk.truncate_to_synced()?;
            self.is_torn = false;
        }
        let is_rewrite = |w: &JournalWrite| matches!(w, JournalWrite::Rewrite { .. });
        if let Some(at) = writes.iter().rposition(is_rewrite) {
            // The records of a rewrite replace all that were queued before it.
            writes.drain(..at);
            if let Some(JournalWrite::Rewrite { records, .. }) = writes.first() {
                self.disk.rewrite(records)?;
            }
            writes.remove(0);
        }
        // One write for each sync: after a loss of power, a later one may be there without an earlier
        // one, which looks like damage.
        let mut bytes = Vec::new();
        for write in writes.iter() {
            if let JournalWrite::Append { bytes: more, .. } = write {
                bytes.extend_from_slice(more);
            }
        }
        if !bytes.is_empty() {
            self.is_torn = true;
            self.disk.append(&bytes)?;
            self.disk.sync()?;
            self.is_torn = false;
        }
        writes.clear();
        Ok(last)
    }
}
