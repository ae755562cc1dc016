//! Inputs of the side role: the events that it handles.

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Usage;

use crate::SlotRef;

/// Status that a backend server reports about itself; it lags behind the actual state.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendStatus {
    /// The loaded weight version; empty for a plain service and while no weights are loaded.
    pub version: WeightVersion,
    /// Number of concurrent runs; for a store, its number of block slots.
    pub slots: u32,
    /// Prefill rate in tokens per second.
    pub prefill_rate: f64,
    /// Size of one KV cache block in bytes.
    pub block_bytes: u32,
}

/// One event for a [`SideCore`](crate::SideCore).
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Periodic timer event, which drives timeouts and reports.
    Tick,
    /// A connection to a process opened.
    Opened {
        /// The name of the process.
        peer: InstanceName,
        /// The role of the process.
        role: Role,
    },
    /// A connection to a process closed or was closed because it was silent.
    Closed {
        /// The name of the process.
        peer: InstanceName,
    },
    /// A process sent a message.
    Message {
        /// The sending process.
        from: InstanceName,
        /// The configuration revision that the sender holds.
        revision: Revision,
        /// The message.
        message: Message,
    },
    /// The backend server began to answer a run.
    RunStarted {
        /// The number of the run.
        run: u64,
        /// The weight version that generates the answer; empty for a plain service.
        version: WeightVersion,
        /// The HTTP status of the answer.
        status: u16,
        /// The media type of the answer.
        content_type: CompactString,
    },
    /// The backend server sent a chunk of the answer.
    RunChunk {
        /// The number of the run.
        run: u64,
        /// The text of one token of a completion, or a chunk of the body of a plain
        /// service's answer.
        data: Bytes,
    },
    /// The backend server's answer is complete.
    RunFinished {
        /// The number of the run.
        run: u64,
        /// The token counts that the backend server reported.
        usage: Usage,
    },
    /// A run ended without a complete answer.
    RunFailed {
        /// The number of the run.
        run: u64,
        /// Whether any byte of the request may have reached the backend server.
        called: bool,
        /// The cause, as text for the caller.
        detail: CompactString,
    },
    /// The backend server reported its status.
    Load(BackendStatus),
    /// The engine reported changes of its KV cache.
    CacheEvents {
        /// Whether `added` is the full content of the cache instead of a change.
        whole: bool,
        /// Blocks that were added.
        added: Vec<BlockKey>,
        /// Blocks that were removed.
        removed: Vec<BlockKey>,
    },
    /// The engine accepted or refused an imported block.
    BlockImported {
        /// The number of the run that needs the block.
        run: u64,
        /// The key of the block.
        key: BlockKey,
        /// Whether the engine accepted the block.
        taken: bool,
    },
    /// The engine returned a block for export.
    BlockExported {
        /// The key of the block.
        key: BlockKey,
        /// The payload; absent if the engine does not hold the block any more.
        data: Option<Bytes>,
    },
    /// The engine finished or refused an order to load a weight version.
    VersionLoaded {
        /// The fencing number of the order.
        fence: u64,
        /// The weight version that the engine holds now.
        version: WeightVersion,
        /// Whether the engine loaded the ordered version.
        done: bool,
    },
    /// The write of a store's slot succeeded or failed.
    SlotWritten {
        /// The slot and generation of the write.
        slot: SlotRef,
        /// Whether the store wrote all bytes.
        written: bool,
    },
    /// The read of a store's slot succeeded or failed.
    SlotRead {
        /// The slot and generation of the read.
        slot: SlotRef,
        /// The bytes of the slot; absent if the read failed.
        data: Option<Bytes>,
    },
    /// The platform's instance list marks this instance as leaving, so that it drains.
    ListedLeaving,
    /// The process shall drain and exit when its work is done.
    Stop,
}
