//! Exports KV cache blocks from an engine to a store after a run.
//!
//! The side offers the blocks to a store, reads those that the store is missing from the engine and
//! sends them to the store.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Tier;
use dotterelrudder_wire::Message;

use crate::Output;

/// Number of blocks read from the engine concurrently.
const MAX_IN_FLIGHT: usize = 2;
/// Maximum number of blocks offered or queued for export. Further blocks are not offered, and
/// engines recompute them when they are needed.
const MAX_OFFERED: usize = 1_024;

/// The store that a block goes to, with the values of [`Message::PutBlock`].
#[derive(Debug, Clone)]
struct Destination {
    store: InstanceName,
    tier: Tier,
    trial_percent: u8,
}

/// Exports in progress.
#[derive(Debug, Default)]
pub(crate) struct BlockExporter {
    /// Blocks from the offer to a store until they are read from the engine.
    offered: BTreeMap<BlockKey, Destination>,
    /// Blocks that a store is missing, not requested from the engine yet.
    queue: VecDeque<BlockKey>,
    /// Number of blocks requested from the engine.
    in_flight: usize,
}

impl BlockExporter {
    /// Returns whether no block is queued or being read from the engine.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight == 0
    }

    /// Offers blocks to a store, which replies with the ones that it is missing.
    pub(crate) fn offer(
        &mut self,
        keys: &[BlockKey],
        store: InstanceName,
        tier: Tier,
        trial_percent: u8,
        out: &mut Vec<Output>,
    ) {
        if keys.is_empty() || self.offered.len() + keys.len() > MAX_OFFERED {
            return;
        }
        for key in keys {
            let destination = Destination {
                store: store.clone(),
                tier,
                trial_percent,
            };
            self.offered.insert(*key, destination);
        }
        out.push(Output::Send {
            to: store,
            message: Message::HasBlocks {
                keys: keys.to_vec(),
            },
        });
    }

    /// Queues the offered blocks that a store is missing; drops the others, which the store holds.
    pub(crate) fn on_missing(
        &mut self,
        store: &InstanceName,
        missing: &[BlockKey],
        out: &mut Vec<Output>,
    ) {
        let queue = &self.queue;
        self.offered.retain(|key, destination| {
            destination.store != *store || missing.contains(key) || queue.contains(key)
        });
        for key in missing.iter().filter(|key| self.offered.contains_key(*key)) {
            if !self.queue.contains(key) {
                self.queue.push_back(*key);
            }
        }
        self.start_exports(out);
    }

    /// Sends a block that was read from the engine to its store. No data means that the engine does
    /// not hold the block any more.
    pub(crate) fn on_exported(
        &mut self,
        key: BlockKey,
        data: Option<Bytes>,
        out: &mut Vec<Output>,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let destination = self.offered.remove(&key);
        if let (Some(to), Some(data)) = (destination, data) {
            let Destination {
                store,
                tier,
                trial_percent,
            } = to;
            let message = Message::PutBlock {
                key,
                tier,
                trial_percent,
                data,
            };
            out.push(Output::Send { to: store, message });
        }
        self.start_exports(out);
    }

    /// Drops the blocks offered to a store whose connection closed.
    pub(crate) fn on_store_closed(&mut self, store: &InstanceName) {
        self.offered
            .retain(|_, destination| destination.store != *store);
        let offered = &self.offered;
        self.queue.retain(|key| offered.contains_key(key));
    }

    /// Requests queued blocks from the engine up to the concurrency limit.
    fn start_exports(&mut self, out: &mut Vec<Output>) {
        while self.in_flight < MAX_IN_FLIGHT {
            let Some(key) = self.queue.pop_front() else {
                return;
            };
            self.in_flight += 1;
            out.push(Output::ExportBlock { key });
        }
    }
}
