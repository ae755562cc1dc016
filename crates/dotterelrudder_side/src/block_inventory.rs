//! The keys of the KV cache blocks that an engine or store holds, as last reported to the side.
//!
//! Entries receive the changes as routing hints and detect lost ones by gaps in the sequence
//! numbers.

use std::collections::BTreeSet;

use dotterelrudder_types::BlockKey;
use dotterelrudder_wire::Message;

/// A set of block keys with a sequence number that counts its changes.
#[derive(Debug, Default)]
pub(crate) struct BlockInventory {
    keys: BTreeSet<BlockKey>,
    sequence: u64,
}

impl BlockInventory {
    pub(crate) fn contains(&self, key: &BlockKey) -> bool {
        self.keys.contains(key)
    }

    /// Applies changes; returns the message that announces them, or `None` if nothing changed. With
    /// `whole` set, `added` is the full state and replaces the set.
    pub(crate) fn apply_changes(
        &mut self,
        whole: bool,
        added: Vec<BlockKey>,
        removed: Vec<BlockKey>,
    ) -> Option<Message> {
        if whole {
            self.keys = added.into_iter().collect();
            self.sequence += 1;
            return Some(self.snapshot());
        }
        let added: Vec<_> = added.into_iter().filter(|k| self.keys.insert(*k)).collect();
        let removed: Vec<_> = removed
            .into_iter()
            .filter(|k| self.keys.remove(k))
            .collect();
        if added.is_empty() && removed.is_empty() {
            return None;
        }
        self.sequence += 1;
        Some(Message::Blocks {
            sequence: self.sequence,
            whole: false,
            added,
            removed,
        })
    }

    /// Returns the message that announces the full state.
    pub(crate) fn snapshot(&self) -> Message {
        Message::Blocks {
            sequence: self.sequence,
            whole: true,
            added: self.keys.iter().copied().collect(),
            removed: Vec::new(),
        }
    }
}
