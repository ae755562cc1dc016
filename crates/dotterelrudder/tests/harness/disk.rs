//! The disk of a control instance.

use dotterelrudder::control::Record;

/// What lasts, what was written but not synced, and older copies.
#[derive(Debug, Default)]
pub struct Disk {
    pub durable: Vec<u8>,
    pub unsynced: Vec<u8>,
    pub saved: Vec<u8>,
    pub written: u64,
}

impl Disk {
    pub fn append(&mut self, sequence: u64, record: &Record) {
        record.encode(&mut self.unsynced);
        self.written = sequence;
    }

    pub fn rewrite(&mut self, sequence: u64, records: &[Record]) {
        self.durable.clear();
        self.unsynced.clear();
        records.iter().for_each(|r| r.encode(&mut self.durable));
        self.written = sequence;
    }

    pub fn sync(&mut self) -> u64 {
        self.durable.append(&mut self.unsynced);
        self.written
    }

    /// Loses what wasn't synced, but for a torn part of it.
    pub fn crash(&mut self, torn_bytes: usize) {
        let torn = torn_bytes.min(self.unsynced.len());
        self.durable.extend_from_slice(&self.unsynced[..torn]);
        self.unsynced.clear();
    }

    pub fn flip_bit(&mut self) {
        let middle = self.durable.len() / 2;
        if let Some(byte) = self.durable.get_mut(middle) {
            *byte ^= 4;
        }
    }
}
