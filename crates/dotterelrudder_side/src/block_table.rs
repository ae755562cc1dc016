//! The slot table of a KV cache store: allocation, eviction and pinning of slots.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::Tier;

use crate::decode_block;

/// How long a freed slot is kept for the readers that pinned it. After that it is reused, and their
/// reads fail the check of the generation in [`BlockTable::verify`].
const PIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Identifies one use of a slot; each new use gets a new generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotRef {
    /// The index of the slot in the store.
    pub slot: u32,
    /// The generation of this use, unique in the store.
    pub generation: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum SlotState {
    Free,
    /// A write is in progress; the block cannot be read.
    Writing,
    /// The block is completely written and can be read.
    Sealed,
    /// The block was freed while it was pinned or written; the slot is not reused yet.
    Freeing {
        since: Duration,
    },
}

#[derive(Debug, Clone)]
struct Slot {
    generation: u64,
    state: SlotState,
    key: BlockKey,
    tier: Tier,
    /// Number of reads in progress.
    pins: u32,
    /// Time of the last write or read, for the eviction of the least recently used block.
    used_at: Duration,
}

/// Maps block keys to the slots of a store.
///
/// A block can be found only between [`BlockTable::seal`] and [`BlockTable::free`]. The bytes of a
/// read are valid only if [`BlockTable::verify`] accepts them.
#[derive(Debug)]
pub struct BlockTable {
    slots: Vec<Slot>,
    /// The slot of each block that is being written or sealed.
    by_key: HashMap<BlockKey, u32>,
    next_generation: u64,
}

impl BlockTable {
    /// Creates a table with all slots free. `first_generation` must exceed every generation used
    /// before.
    pub fn new(slots: u32, first_generation: u64) -> Self {
        let free = Slot {
            generation: 0,
            state: SlotState::Free,
            key: BlockKey([0; 16]),
            tier: Tier::Trial,
            pins: 0,
            used_at: Duration::ZERO,
        };
        Self {
            slots: vec![free; slots as usize],
            by_key: HashMap::new(),
            next_generation: first_generation,
        }
    }

    /// Returns the number of slots.
    pub fn capacity(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether a block can be read.
    pub fn contains(&self, key: &BlockKey) -> bool {
        self.by_key
            .get(key)
            .is_some_and(|i| self.slots[*i as usize].state == SlotState::Sealed)
    }

    /// Returns the keys of all blocks that can be read.
    pub fn keys(&self) -> Vec<BlockKey> {
        let sealed = self.slots.iter().filter(|s| s.state == SlotState::Sealed);
        sealed.map(|s| s.key).collect()
    }

    /// Restores a block that was found in its slot after a restart, unless the slot is in use or
    /// the block is already in the table. Later writes use higher generations in either case.
    pub fn restore(&mut self, slot: u32, key: BlockKey, generation: u64, tier: Tier) {
        self.next_generation = self.next_generation.max(generation + 1);
        let free = self
            .slots
            .get(slot as usize)
            .is_some_and(|s| s.state == SlotState::Free);
        if !free || self.by_key.contains_key(&key) {
            return;
        }
        let state = SlotState::Sealed;
        let used_at = Duration::ZERO;
        self.slots[slot as usize] = Slot {
            generation,
            state,
            key,
            tier,
            pins: 0,
            used_at,
        };
        self.by_key.insert(key, slot);
    }

    /// Reserves a slot for a block and evicts another block if necessary; returns the slot and the
    /// key of the evicted block.
    ///
    /// Blocks of trial accounts may fill at most `trial_percent` of the slots. Returns `None` if
    /// the block is in the table already, if no block may be evicted for it, or if the evicted
    /// block is pinned, so that its slot is not free yet; the evicted block is removed all the
    /// same.
    pub fn begin_write(
        &mut self,
        key: BlockKey,
        tier: Tier,
        trial_percent: u8,
        now: Duration,
    ) -> Option<(SlotRef, Option<BlockKey>)> {
        self.reclaim_expired(now);
        if self.by_key.contains_key(&key) {
            return None;
        }
        let trial_slots = self.slots.len() * usize::from(trial_percent) / 100;
        let trial_full = tier == Tier::Trial && self.count_trial() >= trial_slots;
        let mut evicted = None;
        let mut slot = if trial_full { None } else { self.find_free() };
        if slot.is_none() {
            let victim = self.find_victim(tier)?;
            let victim_key = self.slots[victim as usize].key;
            self.free(&victim_key, now);
            evicted = Some(victim_key);
            slot = self.find_free();
        }
        let Some(slot) = slot else {
            // The evicted block is pinned; its slot becomes free when its readers have finished.
            return None;
        };
        let generation = self.next_generation;
        self.next_generation += 1;
        let state = SlotState::Writing;
        self.slots[slot as usize] = Slot {
            generation,
            state,
            key,
            tier,
            pins: 0,
            used_at: now,
        };
        self.by_key.insert(key, slot);
        Some((SlotRef { slot, generation }, evicted))
    }

    /// Makes a completely written block readable. Returns false if the slot was freed or reused
    /// during the write.
    pub fn seal(&mut self, at: SlotRef) -> bool {
        match self.slot_mut(at) {
            Some(slot) if slot.state == SlotState::Writing => {
                slot.state = SlotState::Sealed;
                true
            }
            _ => false,
        }
    }

    /// Frees the slot of a failed write.
    pub fn abort(&mut self, at: SlotRef) {
        if let Some(slot) = self.slot_mut(at) {
            if slot.state == SlotState::Writing {
                slot.state = SlotState::Free;
                let key = slot.key;
                self.by_key.remove(&key);
            }
        }
    }

    /// Looks up a block and pins its slot for a read, so that it is not reused before
    /// [`BlockTable::unpin`] or the timeout of the pin.
    pub fn pin(&mut self, key: &BlockKey, now: Duration) -> Option<SlotRef> {
        let index = *self.by_key.get(key)?;
        let slot = &mut self.slots[index as usize];
        if slot.state != SlotState::Sealed {
            return None;
        }
        slot.pins += 1;
        slot.used_at = now;
        Some(SlotRef {
            slot: index,
            generation: slot.generation,
        })
    }

    /// Ends a read; frees the slot if the block was freed during the read and this was its last
    /// reader.
    pub fn unpin(&mut self, at: SlotRef) {
        if let Some(slot) = self.slot_mut(at) {
            slot.pins = slot.pins.saturating_sub(1);
            if slot.pins == 0 && matches!(slot.state, SlotState::Freeing { .. }) {
                slot.state = SlotState::Free;
            }
        }
    }

    /// Returns the payload of the bytes read from a slot if they are complete, were written in the
    /// same use of the slot and hold the requested block.
    pub fn verify(&self, at: SlotRef, key: &BlockKey, data: &Bytes) -> Option<Bytes> {
        let (found, generation, _, payload) = decode_block(data)?;
        let same_use = generation == at.generation
            && self
                .slots
                .get(at.slot as usize)
                .is_some_and(|s| s.generation == generation);
        (same_use && found == *key).then_some(payload)
    }

    /// Removes a block; its slot is reused when its readers have finished. Returns false if the
    /// block is not in the table.
    pub fn free(&mut self, key: &BlockKey, now: Duration) -> bool {
        let Some(index) = self.by_key.remove(key) else {
            return false;
        };
        let slot = &mut self.slots[index as usize];
        slot.state = if slot.pins == 0 && slot.state != SlotState::Writing {
            SlotState::Free
        } else {
            SlotState::Freeing { since: now }
        };
        true
    }

    /// Frees slots whose readers did not finish within the timeout of a pin.
    pub fn reclaim_expired(&mut self, now: Duration) {
        for slot in &mut self.slots {
            if let SlotState::Freeing { since } = slot.state {
                if now >= since + PIN_TIMEOUT {
                    slot.state = SlotState::Free;
                    slot.generation = 0;
                    slot.pins = 0;
                }
            }
        }
    }

    fn slot_mut(&mut self, at: SlotRef) -> Option<&mut Slot> {
        let slot = self.slots.get_mut(at.slot as usize)?;
        (slot.generation == at.generation).then_some(slot)
    }

    fn count_trial(&self) -> usize {
        let used = self.slots.iter().filter(|s| s.state != SlotState::Free);
        used.filter(|s| s.tier == Tier::Trial).count()
    }

    fn find_free(&self) -> Option<u32> {
        let free = self.slots.iter().position(|s| s.state == SlotState::Free);
        free.map(|i| i as u32)
    }

    /// Selects the block to evict: unpinned blocks before pinned ones, then blocks of trial
    /// accounts before paying ones, then the least recently used. For a trial block only trial
    /// blocks qualify.
    fn find_victim(&self, tier: Tier) -> Option<u32> {
        let sealed = self
            .slots
            .iter()
            .enumerate()
            .filter(|(_, s)| s.state == SlotState::Sealed);
        let allowed = sealed.filter(|(_, s)| s.tier == Tier::Trial || tier == Tier::Paying);
        let order = |s: &Slot| (s.pins > 0, std::cmp::Reverse(s.tier), s.used_at);
        allowed.min_by_key(|(_, s)| order(s)).map(|(i, _)| i as u32)
    }
}
