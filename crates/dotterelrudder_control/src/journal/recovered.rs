//! What a journal holds, taken together.

use std::collections::BTreeMap;

use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Member;

use super::Damage;
use super::Record;

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
