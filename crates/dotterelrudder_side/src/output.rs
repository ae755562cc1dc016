//! What the side role asks of its surroundings.

use bytes::Bytes;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Tier;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Start;

use crate::SlotRef;

/// One effect, to be carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message to a process, if a connection is open.
    Send {
        /// The process.
        to: InstanceName,
        /// The message.
        message: Message,
    },
    /// Call the backend server.
    Call {
        /// The run's number, which its events carry.
        run: u64,
        /// The tier, which sets the engine's priority.
        tier: Tier,
        /// What to run; a resumed completion carries the text so far in its prompt.
        start: Box<Start>,
    },
    /// Cancel a run at the backend server.
    CancelRun {
        /// The run.
        run: u64,
    },
    /// Give a block to the engine.
    ImportBlock {
        /// The run that it is for.
        run: u64,
        /// The block.
        key: BlockKey,
        /// The weight version that the block belongs to.
        version: WeightVersion,
        /// Its bytes.
        data: Bytes,
    },
    /// Ask the engine for a block.
    ExportBlock {
        /// The block.
        key: BlockKey,
    },
    /// Order the engine to load a version.
    LoadVersion {
        /// The fencing number.
        fence: u64,
        /// The version.
        version: WeightVersion,
    },
    /// Write a store's slot.
    WriteSlot {
        /// The slot.
        slot: SlotRef,
        /// What to write.
        data: Bytes,
    },
    /// Read a store's slot.
    ReadSlot {
        /// The slot.
        slot: SlotRef,
    },
    /// A configuration came into force here.
    InForce {
        /// Its revision.
        revision: Revision,
    },
    /// All work is done; the process may exit.
    Exit,
}
