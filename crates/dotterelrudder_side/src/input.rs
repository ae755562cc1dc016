//! What drives the side role.

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

/// What a backend server reports of itself, with a lag.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendStatus {
    /// The weight version loaded; empty for a plain service.
    pub version: WeightVersion,
    /// Runs that it takes at once.
    pub slots: u32,
    /// Prefill rate in tokens a second.
    pub prefill_rate: f64,
    /// Bytes of one block of KV cache.
    pub block_bytes: u32,
}

/// One event.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A connection to a process opened.
    Opened {
        /// The process.
        peer: InstanceName,
        /// Its role.
        role: Role,
    },
    /// A connection to a process closed or went silent.
    Closed {
        /// The process.
        peer: InstanceName,
    },
    /// A process sent a message.
    Message {
        /// The process.
        from: InstanceName,
        /// The revision that it holds.
        revision: Revision,
        /// The message.
        message: Message,
    },
    /// The backend server began to answer a run.
    RunStarted {
        /// The run.
        run: u64,
        /// The weight version that answers.
        version: WeightVersion,
        /// The HTTP status.
        status: u16,
        /// The media type.
        content_type: CompactString,
    },
    /// The backend server sent a part of the answer.
    RunChunk {
        /// The run.
        run: u64,
        /// The text of a token, or a chunk of a body.
        data: Bytes,
    },
    /// The backend server's answer is whole.
    RunFinished {
        /// The run.
        run: u64,
        /// The tokens used.
        usage: Usage,
    },
    /// The run ended without a whole answer.
    RunFailed {
        /// The run.
        run: u64,
        /// Whether any byte of the request can have reached the backend server.
        called: bool,
        /// What went wrong.
        detail: CompactString,
    },
    /// The backend server reported its load.
    Load(BackendStatus),
    /// The backend server reported blocks that appeared or vanished.
    CacheEvents {
        /// Whether `added` is all that there is.
        whole: bool,
        /// Blocks that appeared.
        added: Vec<BlockKey>,
        /// Blocks that vanished.
        removed: Vec<BlockKey>,
    },
    /// The engine took a block, or refused it.
    BlockImported {
        /// The run that it was for.
        run: u64,
        /// The block.
        key: BlockKey,
        /// Whether the engine took it.
        taken: bool,
    },
    /// The engine gave a block, or no longer had it.
    BlockExported {
        /// The block.
        key: BlockKey,
        /// Its bytes.
        data: Option<Bytes>,
    },
    /// The engine carried an order out, or didn't.
    VersionLoaded {
        /// The fencing number.
        fence: u64,
        /// The version that the engine holds now.
        version: WeightVersion,
        /// Whether the order was carried out.
        done: bool,
    },
    /// A store's slot was written, or not.
    SlotWritten {
        /// The slot.
        slot: SlotRef,
        /// Whether the store took all bytes.
        written: bool,
    },
    /// A store's slot was read.
    SlotRead {
        /// The slot.
        slot: SlotRef,
        /// Its bytes, as far as the store gave any.
        data: Option<Bytes>,
    },
    /// The platform's list shows this instance as leaving.
    ListedLeaving,
    /// The process shall stop once its work is done.
    Stop,
}
