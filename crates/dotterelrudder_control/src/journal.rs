//! The records of a replica's journal and how they are read back after a crash.
//!
//! Each record is a length, a CRC-32 and a bincode body. docs/design/disk-identity.md tells how a
//! torn tail, which was never synced, is told from damage to what was synced.

use std::collections::BTreeMap;

use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Member;
use serde::Deserialize;
use serde::Serialize;

/// One record of the journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The identity of the disk and how often it was started.
    Identity {
        /// The replica's identity; never 0.
        id: u64,
        /// The number of the start.
        boot: u64,
    },
    /// The term and the vote given in it; 0 for none.
    HardState {
        /// The term.
        term: u64,
        /// Who got the vote.
        voted_for: u64,
    },
    /// An entry; one at the same index or later replaces what stood there.
    Entry(LogEntry),
    /// A snapshot that replaces the entries up to its index.
    Snapshot {
        /// The last index covered.
        index: u64,
        /// The term of that entry.
        term: u64,
        /// The members at that index.
        members: Vec<Member>,
        /// The encoded state.
        data: Vec<u8>,
    },
    /// The highest start known of a peer.
    PeerBoot {
        /// The peer's identity.
        id: u64,
        /// The number of its start.
        boot: u64,
        /// The random number of that start.
        nonce: u64,
    },
}

const HEADER_BYTES: usize = 8;

impl Record {
    /// Appends the record's bytes.
    pub fn encode(&self, buf: &mut Vec<u8>) {
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("records hold only types that bincode can write");
        buf.extend_from_slice(&(body.len() as u32).to_le_bytes());
        buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        buf.extend_from_slice(&body);
    }
}

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

/// What a replica remembers after a start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Recovered {
    /// The identity of the disk, 0 for an empty one.
    pub id: u64,
    /// The number of the last start.
    pub boot: u64,
    /// The term.
    pub term: u64,
    /// The vote given in the term.
    pub voted_for: u64,
    /// The snapshot: index, term, members, state.
    pub snapshot: Option<(u64, u64, Vec<Member>, Vec<u8>)>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// The highest starts known of peers.
    pub peer_boots: BTreeMap<u64, (u64, u64)>,
    /// Bytes up to the last whole record.
    pub valid_bytes: u64,
    /// What was wrong with the file, if anything.
    pub damage: Option<Damage>,
}

impl Recovered {
    /// Takes one record in.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Identity { id, boot } => {
                if id != self.id {
                    *self = Self {
                        id,
                        ..Self::default()
                    };
                }
                self.boot = boot;
            }
            Record::HardState { term, voted_for } => {
                self.term = term;
                self.voted_for = voted_for;
            }
            Record::Entry(entry) => {
                while self.entries.last().is_some_and(|e| e.index >= entry.index) {
                    self.entries.pop();
                }
                self.entries.push(entry);
            }
            Record::Snapshot {
                index,
                term,
                members,
                data,
            } => {
                // Entries after a snapshot from a leader count only when they continue it.
                let continues = self
                    .entries
                    .iter()
                    .any(|e| e.index == index && e.term == term);
                self.entries.retain(|e| continues && e.index > index);
                self.snapshot = Some((index, term, members, data));
            }
            Record::PeerBoot { id, boot, nonce } => {
                self.peer_boots.insert(id, (boot, nonce));
            }
        }
    }

    /// Returns whether the old identity must not be used again.
    pub fn is_corrupt(&self) -> bool {
        matches!(self.damage, Some(Damage::Corrupt { .. }))
    }
}

/// Reads a journal from its bytes, up to its end or to the first damage.
pub fn read_journal(bytes: &[u8]) -> Recovered {
    let mut found = Recovered::default();
    let mut at = 0;
    while at < bytes.len() {
        let offset = at as u64;
        let Some(header) = bytes.get(at..at + HEADER_BYTES) else {
            found.damage = Some(Damage::TornTail { offset });
            break;
        };
        if bytes[at..].iter().all(|b| *b == 0) {
            found.damage = Some(Damage::TornTail { offset });
            break;
        }
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let crc = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
        let Some(body) = bytes.get(at + HEADER_BYTES..at + HEADER_BYTES + length) else {
            found.damage = Some(classify_short_record(bytes, at));
            break;
        };
        let record = decode(body, crc);
        let Some(record) = record else {
            found.damage = Some(Damage::Corrupt { offset });
            break;
        };
        found.apply(record);
        at += HEADER_BYTES + length;
        found.valid_bytes = at as u64;
    }
    found
}

fn decode(body: &[u8], crc: u32) -> Option<Record> {
    if crc32fast::hash(body) != crc {
        return None;
    }
    let decoded = bincode::serde::decode_from_slice(body, bincode::config::standard());
    decoded.ok().map(|(record, _)| record)
}

/// Tells a torn tail from a damaged length: when whole records follow the place, what is there was
/// synced and its length field changed.
fn classify_short_record(bytes: &[u8], at: usize) -> Damage {
    let offset = at as u64;
    let whole_record_follows = (at + 1..bytes.len()).any(|start| {
        let Some(header) = bytes.get(start..start + HEADER_BYTES) else {
            return false;
        };
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let crc = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
        let body = bytes.get(start + HEADER_BYTES..start + HEADER_BYTES + length);
        length > 0 && body.is_some_and(|body| decode(body, crc).is_some())
    });
    if whole_record_follows {
        Damage::Corrupt { offset }
    } else {
        Damage::TornTail { offset }
    }
}
