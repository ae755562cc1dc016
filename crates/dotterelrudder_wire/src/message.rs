//! Every message between two processes of the system.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_config::ChangeSet;
use dotterelrudder_config::Configuration;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Tier;
use dotterelrudder_types::WeightVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::AnswerChunk;
use crate::Command;
use crate::CommandResult;
use crate::DirectoryUpdate;
use crate::FleetQuery;
use crate::FleetState;
use crate::LoadReport;
use crate::PartKey;
use crate::RaftMessage;
use crate::RunnerLoad;
use crate::RunnerLoadUpdate;
use crate::RunnerRecord;
use crate::Start;
use crate::Usage;
use crate::WeightOrder;

/// One message; docs/PROTOCOLS.md tells who sends which.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the configuration if it is newer than the one held.
    Subscribe {
        /// The revision held.
        held: Revision,
    },
    /// Brings a newer configuration whole, to a process far behind.
    Update(Box<Configuration>),
    /// Brings what changed between two revisions.
    Delta {
        /// The revision that the change applies to.
        from: Revision,
        /// The revision that it leads to.
        to: Revision,
        /// What changed.
        change: Box<ChangeSet>,
    },
    /// Confirms that the revision held is the newest that a quorum accepted.
    Confirmed {
        /// The revision confirmed.
        revision: Revision,
        /// Instances asked to drain.
        draining: Vec<dotterelrudder_types::InstanceName>,
    },
    /// The replica has no fresh contact with a quorum; ask another one.
    NotFresh,
    /// The sender has this revision in force.
    InForce {
        /// The revision.
        revision: Revision,
    },

    /// Tells how many requests of each client account came to an entry in the last second.
    Demand(Vec<(ClientAccount, f32)>),
    /// Answers [`Message::Demand`] with the share of each account's rate that the entry may use.
    Shares(Vec<(ClientAccount, f32)>),

    /// Asks to run an attempt.
    Start(Box<Start>),
    /// Cancels an attempt, also one that hasn't arrived yet.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Asks for the rest of an attempt's answer, after a connection was lost.
    Query {
        /// The attempt.
        attempt: AttemptId,
        /// The number of the first piece that is missing.
        from: u32,
    },
    /// The backend server began to answer.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// The weight version that runs it; empty for a plain service.
        version: WeightVersion,
        /// The status of a plain service's answer.
        status: u16,
        /// The media type of a plain service's answer.
        content_type: CompactString,
    },
    /// A part of the answer.
    AnswerChunk(AnswerChunk),
    /// The answer is whole.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// How many pieces the answer has.
        pieces: u32,
        /// The tokens used.
        usage: Usage,
    },
    /// The attempt ended without an answer.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why, and whether it can have run.
        refusal: Refusal,
    },

    /// The load of the sender's backend server.
    Load(LoadReport),
    /// The sender takes no new work from now on.
    Leaving,
    /// Blocks that appeared and vanished, as a hint.
    Blocks {
        /// Counts the sender's changes; a gap asks for a resync.
        sequence: u64,
        /// Whether `added` is all that there is.
        whole: bool,
        /// Blocks that can be read now.
        added: Vec<BlockKey>,
        /// Blocks that can't be read any more.
        removed: Vec<BlockKey>,
    },
    /// Asks for all blocks anew, after a gap.
    ResyncBlocks,

    /// Asks a store's side to keep a block.
    PutBlock {
        /// The block's key.
        key: BlockKey,
        /// The tier of the account that it belongs to.
        tier: Tier,
        /// Percent of the store that blocks of trial accounts may fill.
        trial_percent: u8,
        /// The block.
        data: Bytes,
    },
    /// Asks a store's side for a block.
    GetBlock {
        /// The block's key.
        key: BlockKey,
    },
    /// Answers [`Message::GetBlock`]; no data when the block isn't there, whole and sealed.
    Block {
        /// The block's key.
        key: BlockKey,
        /// The block.
        data: Option<Bytes>,
    },
    /// Asks a store's side which of some blocks it holds.
    HasBlocks {
        /// The blocks' keys.
        keys: Vec<BlockKey>,
    },
    /// Tells the blocks asked for by [`Message::HasBlocks`] that the store doesn't hold.
    LacksBlocks {
        /// The keys of the absent blocks.
        keys: Vec<BlockKey>,
    },

    /// Asks control to log a command.
    Propose {
        /// Returned with the result.
        tag: u64,
        /// The command.
        command: Box<Command>,
    },
    /// Answers [`Message::Propose`].
    Result {
        /// The tag of the proposal.
        tag: u64,
        /// What it gave.
        result: Box<CommandResult>,
    },
    /// Orders a side to have its engine load a version.
    Order {
        /// The fencing number.
        fence: u64,
        /// The version.
        version: WeightVersion,
    },
    /// Answers [`Message::Order`].
    OrderDone {
        /// The fencing number of the order.
        fence: u64,
        /// The version that the engine holds now.
        version: WeightVersion,
        /// Why the order wasn't carried out.
        refusal: Option<Refusal>,
    },
    /// A message of the replicated log.
    Raft {
        /// The sending replica's identity.
        from: u64,
        /// The identity that the message is for; 0 when the sender doesn't know it.
        to: u64,
        /// The message.
        message: Box<RaftMessage>,
    },

    /// Asks the leading control instance for what is in force.
    FleetQuery(FleetQuery),
    /// Tells what is in force.
    Fleet(Box<FleetState>),
    /// The receiver of a [`Message::FleetQuery`] doesn't lead or isn't sure that it does.
    NotLeader {
        /// The instance that leads, as far as it is known.
        leader: Option<InstanceName>,
    },
    /// The backend servers that the platform lists, all of them.
    Runners(Vec<RunnerRecord>),
    /// The loads that a side tells the leader.
    RunnerLoads(Vec<RunnerLoad>),
    /// Changes of the directory of stored parts; shared by all that it is sent to.
    Directory(Arc<DirectoryUpdate>),
    /// Parts that the sender's requests used lately, so that stores keep them.
    PartsUsed(Vec<PartKey>),
    /// Orders a side to have its runner load weights.
    WeightOrder(WeightOrder),
    /// The loads that changed, as the leader tells entries.
    RunnerLoadUpdate(Vec<RunnerLoadUpdate>),
}

impl Message {
    /// Returns the change in the number of exchanges that wait for the peer, which decides how
    /// often a connection is tested for silence.
    pub fn waiting_delta(&self) -> i32 {
        match self {
            Self::Start(_) | Self::Propose { .. } | Self::GetBlock { .. } | Self::FleetQuery(_) => {
                1
            }
            Self::Finished { .. } | Self::Refused { .. } => -1,
            Self::Result { .. } | Self::Block { .. } => -1,
            Self::Fleet(_) | Self::NotLeader { .. } => -1,
            _ => 0,
        }
    }
}
