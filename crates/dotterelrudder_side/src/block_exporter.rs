//! Moves blocks worth keeping from an engine to a store.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Tier;
use dotterelrudder_wire::Message;

use crate::Output;

/// Blocks offered of the engine at once.
const MAX_IN_FLIGHT: usize = 2;
/// Blocks that wait for export at most; later ones are left to be recomputed.
const MAX_OFFERED: usize = 1_024;

#[derive(Debug, Clone)]
struct Destination {
    store: InstanceName,
    tier: Tier,
    trial_percent: u8,
}

#[derive(Debug, Default)]
pub(crate) struct BlockExporter {
    offered: BTreeMap<BlockKey, Destination>,
    queue: VecDeque<BlockKey>,
    in_flight: usize,
}

impl BlockExporter {
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight == 0
    }

    /// Asks a store which of these blocks it lacks.
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

    /// Learns which blocks a store lacks, and that it holds the other ones offered to it.
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

    /// Takes a block from the engine and sends it on.
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

    /// Forgets what was meant for a store that went away.
    pub(crate) fn on_store_closed(&mut self, store: &InstanceName) {
        self.offered
            .retain(|_, destination| destination.store != *store);
        let offered = &self.offered;
        self.queue.retain(|key| offered.contains_key(key));
    }

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
