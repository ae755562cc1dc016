//! The side of a KV cache store: serves reads and writes of blocks and reports which blocks it
//! holds.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Role;
use dotterelrudder_types::Tier;
use dotterelrudder_wire::LoadReport;
use dotterelrudder_wire::Message;

use crate::block_inventory::BlockInventory;
use crate::decode_block;
use crate::encode_block;
use crate::side_core::SideContext;
use crate::BlockTable;
use crate::Input;
use crate::Output;
use crate::SlotRef;

/// Number of concurrent slot reads while the table is rebuilt after a start.
const MAX_SCAN_READS: u32 = 8;
/// The generation in the [`SlotRef`] of a read by the scan after a start; blocks never have it.
const SCAN_GENERATION: u64 = 0;
/// Interval of load reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// State of the side of one store.
#[derive(Debug, Default)]
pub(crate) struct StoreSide {
    /// Absent until the store has reported its number of slots.
    table: Option<BlockTable>,
    /// The readable blocks, as announced to entries.
    inventory: BlockInventory,
    /// The requests that each slot read in progress will answer.
    readers: BTreeMap<SlotRef, Vec<(InstanceName, BlockKey)>>,
    /// Slot writes in progress.
    writes: BTreeMap<SlotRef, BlockKey>,
    next_scan_slot: u32,
    open_scan_reads: u32,
    next_report_at: Duration,
}

impl StoreSide {
    /// Returns whether no read or write is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.readers.is_empty() && self.writes.is_empty()
    }

    /// Sends the current load and all readable blocks to a newly connected peer.
    pub(crate) fn on_opened(
        &mut self,
        peer: &InstanceName,
        context: &SideContext,
        out: &mut Vec<Output>,
    ) {
        let load = Message::Load(self.load_report(context));
        out.push(Output::Send {
            to: peer.clone(),
            message: load,
        });
        out.push(Output::Send {
            to: peer.clone(),
            message: self.inventory.snapshot(),
        });
    }

    fn load_report(&self, context: &SideContext) -> LoadReport {
        LoadReport {
            service: context.settings.service.clone(),
            open: !context.draining,
            running: self.readers.len() as u32,
            ..LoadReport::default()
        }
    }

    /// Frees slots whose pins timed out and reports the load to all peers at each interval.
    pub(crate) fn tick(&mut self, context: &SideContext, now: Duration, out: &mut Vec<Output>) {
        if let Some(table) = &mut self.table {
            table.reclaim_expired(now);
        }
        if now >= self.next_report_at {
            self.next_report_at = now + REPORT_INTERVAL;
            let load = Message::Load(self.load_report(context));
            for role in [Role::Control, Role::Entry, Role::Side] {
                context.broadcast(role, &load, out);
            }
        }
    }

    /// Handles an event of the store.
    pub(crate) fn on_event(
        &mut self,
        input: Input,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Load(load) if self.table.is_none() => {
                self.table = Some(BlockTable::new(load.slots, SCAN_GENERATION + 1));
                self.continue_scan(out);
            }
            Input::SlotWritten { slot, written } => self.on_written(slot, written, context, out),
            Input::SlotRead { slot, data } if slot.generation == SCAN_GENERATION => {
                self.on_scanned(slot, data, context, out);
            }
            Input::SlotRead { slot, data } => self.on_read(slot, data, context, now, out),
            _ => {}
        }
    }

    /// Handles a message of a peer. A draining store accepts no new blocks but still serves reads.
    pub(crate) fn on_message(
        &mut self,
        from: InstanceName,
        message: Message,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::PutBlock {
                key,
                tier,
                trial_percent,
                data,
            } if !context.draining => {
                self.put(key, tier, trial_percent, &data, context, now, out);
            }
            Message::GetBlock { key } => self.get(from, key, now, out),
            Message::HasBlocks { keys } => {
                let held = |key: &BlockKey| self.table.as_ref().is_some_and(|t| t.contains(key));
                let keys = keys.into_iter().filter(|key| !held(key)).collect();
                out.push(Output::Send {
                    to: from,
                    message: Message::LacksBlocks { keys },
                });
            }
            Message::ResyncBlocks => {
                out.push(Output::Send {
                    to: from,
                    message: self.inventory.snapshot(),
                });
            }
            _ => {}
        }
    }

    /// Writes a block to a slot, if one is available for it.
    #[allow(clippy::too_many_arguments)]
    fn put(
        &mut self,
        key: BlockKey,
        tier: Tier,
        trial_percent: u8,
        data: &Bytes,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let Some(table) = &mut self.table else {
            return;
        };
        let Some((slot, evicted)) = table.begin_write(key, tier, trial_percent, now) else {
            return;
        };
        self.writes.insert(slot, key);
        let data = encode_block(key, slot.generation, tier, data);
        out.push(Output::WriteSlot { slot, data });
        self.broadcast_changes(Vec::new(), evicted.into_iter().collect(), context, out);
    }

    /// Makes a written block readable, or frees its slot if the write failed.
    fn on_written(
        &mut self,
        slot: SlotRef,
        written: bool,
        context: &SideContext,
        out: &mut Vec<Output>,
    ) {
        let (Some(table), Some(key)) = (&mut self.table, self.writes.remove(&slot)) else {
            return;
        };
        if !written {
            table.abort(slot);
        } else if table.seal(slot) {
            self.broadcast_changes(vec![key], Vec::new(), context, out);
        }
    }

    /// Starts to read a block for a peer; concurrent requests for one block share a slot read.
    fn get(&mut self, from: InstanceName, key: BlockKey, now: Duration, out: &mut Vec<Output>) {
        let pinned = self.table.as_mut().and_then(|t| t.pin(&key, now));
        let Some(slot) = pinned else {
            out.push(Output::Send {
                to: from,
                message: Message::Block { key, data: None },
            });
            return;
        };
        let readers = self.readers.entry(slot).or_default();
        if readers.is_empty() {
            out.push(Output::ReadSlot { slot });
        }
        readers.push((from, key));
    }

    /// Answers the requests for a slot that was read.
    fn on_read(
        &mut self,
        slot: SlotRef,
        data: Option<Bytes>,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let (Some(table), Some(readers)) = (&mut self.table, self.readers.remove(&slot)) else {
            return;
        };
        let mut unreadable = None;
        for (to, key) in readers {
            let payload = data.as_ref().and_then(|d| table.verify(slot, &key, d));
            if payload.is_none() {
                unreadable = Some(key);
            }
            table.unpin(slot);
            out.push(Output::Send {
                to,
                message: Message::Block { key, data: payload },
            });
        }
        // A block that could not be read or verified is removed, so that it does not cost a failed
        // read for every further request.
        if let Some(key) = unreadable {
            if table.free(&key, now) {
                self.broadcast_changes(Vec::new(), vec![key], context, out);
            }
        }
    }

    /// Issues further slot reads of the scan that rebuilds the table after a start.
    fn continue_scan(&mut self, out: &mut Vec<Output>) {
        let slots = self.table.as_ref().map_or(0, |t| t.capacity() as u32);
        while self.open_scan_reads < MAX_SCAN_READS && self.next_scan_slot < slots {
            let slot = SlotRef {
                slot: self.next_scan_slot,
                generation: SCAN_GENERATION,
            };
            self.next_scan_slot += 1;
            self.open_scan_reads += 1;
            out.push(Output::ReadSlot { slot });
        }
    }

    /// Restores a block that an earlier process of this side wrote completely, and continues the
    /// scan.
    fn on_scanned(
        &mut self,
        slot: SlotRef,
        data: Option<Bytes>,
        context: &SideContext,
        out: &mut Vec<Output>,
    ) {
        self.open_scan_reads = self.open_scan_reads.saturating_sub(1);
        if let (Some(table), Some(data)) = (&mut self.table, data) {
            if let Some((key, generation, tier, _)) = decode_block(&data) {
                table.restore(slot.slot, key, generation, tier);
                if table.contains(&key) {
                    self.broadcast_changes(vec![key], Vec::new(), context, out);
                }
            }
        }
        self.continue_scan(out);
    }

    /// Updates the inventory and sends the changes to all entries.
    fn broadcast_changes(
        &mut self,
        added: Vec<BlockKey>,
        removed: Vec<BlockKey>,
        context: &SideContext,
        out: &mut Vec<Output>,
    ) {
        if let Some(message) = self.inventory.apply_changes(false, added, removed) {
            context.broadcast(Role::Entry, &message, out);
        }
    }
}
