//! The state of a replica that recovery reads from its journal.

use std::collections::BTreeMap;

use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Member;

use super::Damage;
use super::Record;

/// The persistent state of a replica, as recovered from its journal at a start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Recovered {
    /// The identity of the disk; 0 if the journal is empty.
    pub id: u64,
    /// The number of the last start before this one.
    pub boot: u64,
    /// The highest term known to the replica.
    pub term: u64,
    /// The replica that received the vote in `term`; 0 for none.
    pub voted_for: u64,
    /// The last snapshot: index and term of its last entry, members, encoded state.
    pub snapshot: Option<(u64, u64, Vec<Member>, Vec<u8>)>,
    /// The entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// The newest start known of each peer: its number and its nonce.
    pub peer_boots: BTreeMap<u64, (u64, u64)>,
    /// The length of the valid part of the file in bytes, up to the end of the last complete
    /// record.
    pub valid_bytes: u64,
    /// The first damage in the file, if there is any.
    pub damage: Option<Damage>,
}

impl Recovered {
    /// Applies the next record of the journal. A record of another identity discards everything
    /// before it.
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
                // A snapshot from a leader may conflict with the log. The entries after it are kept
                // only if the log holds the last entry that the snapshot covers.
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

    /// Returns whether synced data is corrupt, so that the replica must not use its identity again.
    pub fn is_corrupt(&self) -> bool {
        matches!(self.damage, Some(Damage::Corrupt { .. }))
    }
}
