//! Moves blocks worth keeping from an engine to a store.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Tier;
use dotterelrudder_wire::Message;

use crate::Output;

/// Blocks asked of the engine at once.
const MAX_IN_FLIGHT: usize = 2;
/// Blocks that wait for export at most; later ones are left to be recomputed.
const MAX_WAITING: usize = 1_024;

#[derive(Debug, Clone)]
struct Destination {
    store: InstanceName,
    tier: Tier,
    trial_percent: u8,
}

#[derive(Debug, Default)]
pub(crate) struct Exporter {
    asked: BTreeMap<BlockKey, Destination>,
    waiting: VecDeque<BlockKey>,
    in_flight: usize,
}

impl Exporter {
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight == 0
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
        if keys.is_empty() || self.asked.len() + keys.len() > MAX_WAITING {
            return;
        }
        for key in keys {
            let destination = Destination {
                store: store.clone(),
                tier,
                trial_percent,
            };
            self.asked.insert(*key, destination);
        }
        out.push(Output::Send {
            to: store,
            message: Message::HasBlocks {
                keys: keys.to_vec(),
            },
        });
    }

    /// Learns which blocks a store lacks, and that it holds the other ones offered to it.
    pub(crate) fn on_lacking(
        &mut self,
        store: &InstanceName,
        lacking: &[BlockKey],
        out: &mut Vec<Output>,
    ) {
        let waiting = &self.waiting;
        self.asked.retain(|key, destination| {
            destination.store != *store || lacking.contains(key) || waiting.contains(key)
        });
        for key in lacking.iter().filter(|key| self.asked.contains_key(*key)) {
            if !self.waiting.contains(key) {
                self.waiting.push_back(*key);
            }
        }
        self.next(out);
    }

    /// Takes a block from the engine and sends it on.
    pub(crate) fn on_exported(
        &mut self,
        key: BlockKey,
        data: Option<Bytes>,
        out: &mut Vec<Output>,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let destination = self.asked.remove(&key);
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
        self.next(out);
    }

    /// Forgets what was meant for a store that went away.
    pub(crate) fn closed(&mut self, store: &InstanceName) {
        self.asked
            .retain(|_, destination| destination.store != *store);
        let asked = &self.asked;
        self.waiting.retain(|key| asked.contains_key(key));
    }

    fn next(&mut self, out: &mut Vec<Output>) {
        while self.in_flight < MAX_IN_FLIGHT {
            let Some(key) = self.waiting.pop_front() else {
                return;
            };
            self.in_flight += 1;
            out.push(Output::ExportBlock { key });
        }
    }
}
