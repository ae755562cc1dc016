//! The blocks that a backend server holds as far as its side knows, told to entries as hints.

use std::collections::BTreeSet;

use dotterelrudder_types::BlockKey;
use dotterelrudder_wire::Message;

/// A set of blocks whose changes are numbered.
#[derive(Debug, Default)]
pub(crate) struct BlockInventory {
    keys: BTreeSet<BlockKey>,
    sequence: u64,
}

impl BlockInventory {
    pub(crate) fn contains(&self, key: &BlockKey) -> bool {
        self.keys.contains(key)
    }

    /// Takes changes in; returns the message that tells them, if there were any.
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

    /// Returns the message that tells everything.
    pub(crate) fn snapshot(&self) -> Message {
        Message::Blocks {
            sequence: self.sequence,
            whole: true,
            added: self.keys.iter().copied().collect(),
            removed: Vec::new(),
        }
    }
}
