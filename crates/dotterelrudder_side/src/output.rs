//! Outputs of the side role: the effects that its driver carries out.

use bytes::Bytes;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Tier;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Start;

use crate::SlotRef;

/// One effect. Effects are carried out in the order in which they were emitted.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message to a process; drop it if no connection is open.
    Send {
        /// The receiving process.
        to: InstanceName,
        /// The message.
        message: Message,
    },
    /// Call the backend server.
    Call {
        /// The number of the run, which its events carry.
        run: u64,
        /// The tier of the client account, which sets the priority in the engine.
        tier: Tier,
        /// The work to run; the prompt of a resumed completion includes the text generated so far.
        start: Box<Start>,
    },
    /// Cancel a run at the backend server.
    CancelRun {
        /// The number of the run.
        run: u64,
    },
    /// Import a block into the engine's KV cache.
    ImportBlock {
        /// The number of the run that needs the block.
        run: u64,
        /// The key of the block.
        key: BlockKey,
        /// The weight version that the block belongs to.
        version: WeightVersion,
        /// The payload of the block.
        data: Bytes,
    },
    /// Read a block from the engine's KV cache.
    ExportBlock {
        /// The key of the block.
        key: BlockKey,
    },
    /// Order the engine to load a weight version.
    LoadVersion {
        /// The fencing number of the order.
        fence: u64,
        /// The weight version to load.
        version: WeightVersion,
    },
    /// Write a slot of the store.
    WriteSlot {
        /// The slot and its generation, which the event of the write carries.
        slot: SlotRef,
        /// The encoded block.
        data: Bytes,
    },
    /// Read a slot of the store.
    ReadSlot {
        /// The slot and its generation, which the event of the read carries.
        slot: SlotRef,
    },
    /// Reports that a new configuration is in force on this side.
    InForce {
        /// The revision of the configuration.
        revision: Revision,
    },
    /// Exit the process; no work is in progress.
    Exit,
}
