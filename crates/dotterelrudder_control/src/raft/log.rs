//! The replicated log in memory: the last snapshot and the entries after it.

use dotterelrudder_wire::encoded_size;
use dotterelrudder_wire::LogEntry;

/// The last snapshot and the entries after it, without gaps.
#[derive(Debug)]
pub(super) struct Log {
    snapshot_index: u64,
    snapshot_term: u64,
    snapshot_data: Vec<u8>,
    entries: Vec<LogEntry>,
    /// The encoded sizes of the entries, in bytes.
    sizes: Vec<usize>,
}

impl Log {
    pub(super) fn new(index: u64, term: u64, data: Vec<u8>, entries: Vec<LogEntry>) -> Self {
        Self {
            snapshot_index: index,
            snapshot_term: term,
            snapshot_data: data,
            sizes: entries.iter().map(encoded_size).collect(),
            entries,
        }
    }

    pub(super) fn snapshot_index(&self) -> u64 {
        self.snapshot_index
    }

    pub(super) fn snapshot_term(&self) -> u64 {
        self.snapshot_term
    }

    pub(super) fn snapshot_data(&self) -> &[u8] {
        &self.snapshot_data
    }

    pub(super) fn last_index(&self) -> u64 {
        self.snapshot_index + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot_term, |e| e.term)
    }

    pub(super) fn entry(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.snapshot_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the term of an entry, or `None` if the entry is absent or the snapshot covers it. The
    /// term of the last covered entry is known.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.entry(index).map(|e| e.term)
    }

    pub(super) fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// Returns at most `max_entries` entries from `index` on, whose encoded sizes add up to at most
    /// `max_bytes`, or a single larger one; none if the snapshot covers `index`.
    pub(super) fn entries_from(
        &self,
        index: u64,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<LogEntry> {
        let Some(offset) = index.checked_sub(self.snapshot_index + 1) else {
            return Vec::new();
        };
        let mut total = 0;
        let entries = self.entries.iter().zip(&self.sizes);
        let batch = entries.skip(offset as usize).take(max_entries);
        let within_limit = batch.enumerate().take_while(|(n, (_, size))| {
            total += **size;
            *n == 0 || total <= max_bytes
        });
        within_limit.map(|(_, (entry, _))| entry.clone()).collect()
    }

    pub(super) fn append(&mut self, entry: LogEntry) {
        self.sizes.push(encoded_size(&entry));
        self.entries.push(entry);
    }

    pub(super) fn truncate_from(&mut self, index: u64) {
        self.entries.retain(|e| e.index < index);
        self.sizes.truncate(self.entries.len());
    }

    /// Drops the entries up to `index`, which the snapshot `data` covers.
    pub(super) fn compact(&mut self, index: u64, term: u64, data: Vec<u8>) {
        self.entries.retain(|e| e.index > index);
        let covered = self.sizes.len() - self.entries.len();
        self.sizes.drain(..covered);
        self.snapshot_index = index;
        self.snapshot_term = term;
        self.snapshot_data = data;
    }

    /// Replaces all entries and the last snapshot by a snapshot from the leader.
    pub(super) fn replace(&mut self, index: u64, term: u64, data: Vec<u8>) {
        self.entries.clear();
        self.compact(index, term, data);
    }
}
