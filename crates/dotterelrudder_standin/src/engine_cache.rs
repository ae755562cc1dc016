//! The engine's prefix cache and its events.

use std::collections::HashMap;
use std::collections::VecDeque;

use dotterelrudder_types::BlockKey;

use crate::answer::ChainState;

/// Events kept; a reader further behind gets everything.
const MAX_EVENTS: usize = 256;

#[derive(Debug, Clone)]
pub(crate) struct CachedBlock {
    pub(crate) state: ChainState,
    pub(crate) account: [u8; 32],
    used: u64,
}

#[derive(Debug)]
enum Event {
    Added(BlockKey),
    Removed(BlockKey),
}

/// What a reader of cache events gets.
#[derive(Debug, Default)]
pub(crate) struct CacheChanges {
    pub(crate) next: u64,
    pub(crate) whole: bool,
    pub(crate) added: Vec<BlockKey>,
    pub(crate) removed: Vec<BlockKey>,
}

#[derive(Debug)]
pub(crate) struct EngineCache {
    blocks: HashMap<BlockKey, CachedBlock>,
    capacity: usize,
    clock: u64,
    events: VecDeque<Event>,
    first_event: u64,
}

impl EngineCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            blocks: HashMap::new(),
            capacity,
            clock: 0,
            events: VecDeque::new(),
            first_event: 1,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.blocks.len()
    }

    pub(crate) fn get(&mut self, key: &BlockKey) -> Option<CachedBlock> {
        self.clock += 1;
        let block = self.blocks.get_mut(key)?;
        block.used = self.clock;
        Some(block.clone())
    }

    pub(crate) fn insert(&mut self, key: BlockKey, state: ChainState, account: [u8; 32]) {
        self.clock += 1;
        let block = CachedBlock {
            state,
            account,
            used: self.clock,
        };
        if self.blocks.insert(key, block).is_none() {
            self.note(Event::Added(key));
        }
        while self.blocks.len() > self.capacity {
            let oldest = self
                .blocks
                .iter()
                .min_by_key(|(_, b)| b.used)
                .map(|(k, _)| *k);
            if let Some(oldest) = oldest {
                self.blocks.remove(&oldest);
                self.note(Event::Removed(oldest));
            }
        }
    }

    pub(crate) fn clear(&mut self) {
        let keys: Vec<BlockKey> = self.blocks.drain().map(|(k, _)| k).collect();
        for key in keys {
            self.note(Event::Removed(key));
        }
    }

    fn note(&mut self, event: Event) {
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
            self.first_event += 1;
        }
    }

    /// Returns what happened since an event, or everything when events before are lost.
    pub(crate) fn changes_since(&self, since: u64) -> CacheChanges {
        let next = self.first_event + self.events.len() as u64;
        if since < self.first_event || since > next {
            let added = self.blocks.keys().copied().collect();
            return CacheChanges {
                next,
                whole: true,
                added,
                removed: Vec::new(),
            };
        }
        let mut changes = CacheChanges {
            next,
            ..CacheChanges::default()
        };
        for event in self.events.iter().skip((since - self.first_event) as usize) {
            match event {
                Event::Added(key) => {
                    changes.removed.retain(|k| k != key);
                    changes.added.push(*key);
                }
                Event::Removed(key) => {
                    changes.added.retain(|k| k != key);
                    changes.removed.push(*key);
                }
            }
        }
        changes
    }
}
