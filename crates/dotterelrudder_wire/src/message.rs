//! All messages that two processes of the system exchange after the hello.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_config::ChangeSet;
use dotterelrudder_config::Configuration;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::LeavingRunner;
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
use crate::LimitGrants;
use crate::LimitReport;
use crate::LimitUpdate;
use crate::LoadReport;
use crate::PartKey;
use crate::PartReport;
use crate::PartVerdicts;
use crate::RaftMessage;
use crate::RunnerLoad;
use crate::RunnerLoadUpdate;
use crate::RunnerRecord;
use crate::RunnerSoftware;
use crate::RunnerWarmUps;
use crate::Start;
use crate::StreamKey;
use crate::StreamOrigin;
use crate::Usage;
use crate::WeightOrder;

/// One message; docs/PROTOCOLS.md lists the messages that each role sends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the configuration if it is newer than the one that the sender holds.
    Subscribe {
        /// The revision that the sender holds.
        held: Revision,
    },
    /// Sends a full newer configuration to a process that is too far behind for a delta.
    Update(Box<Configuration>),
    /// Sends the changes between two revisions.
    Delta {
        /// The revision that the change applies to.
        from: Revision,
        /// The revision after the change is applied.
        to: Revision,
        /// The changes.
        change: Box<ChangeSet>,
    },
    /// Confirms that the revision held by the receiver is the newest that a quorum accepted.
    Confirmed {
        /// The confirmed revision.
        revision: Revision,
        /// The instances that are to drain.
        draining: Vec<dotterelrudder_types::InstanceName>,
    },
    /// The sending replica has no recent contact with a quorum; the receiver should subscribe at
    /// another one.
    NotFresh,
    /// Reports the revision that the sender has put in force.
    InForce {
        /// The revision in force at the sender.
        revision: Revision,
    },

    /// Reports how many requests of each client account an entry received in the last second.
    Demand(Vec<(ClientAccount, f32)>),
    /// Replies to [`Message::Demand`] with the share of each account's rate that the entry may use.
    Shares(Vec<(ClientAccount, f32)>),

    /// Requests that a side run an attempt.
    Start(Box<Start>),
    /// Cancels an attempt, including one whose [`Message::Start`] has not arrived yet.
    Cancel {
        /// The attempt that the message is about.
        attempt: AttemptId,
    },
    /// Requests the rest of an attempt's response after a connection was lost.
    Query {
        /// The attempt that the message is about.
        attempt: AttemptId,
        /// The number of the first missing chunk.
        from: u32,
    },
    /// Reports that the backend server began its response.
    Started {
        /// The attempt that the message is about.
        attempt: AttemptId,
        /// The weight version that serves the attempt; empty for a plain service.
        version: WeightVersion,
        /// The HTTP status of a plain service's response.
        status: u16,
        /// The media type of a plain service's response.
        content_type: CompactString,
    },
    /// Carries one chunk of the response.
    AnswerChunk(AnswerChunk),
    /// Reports that the response is complete.
    Finished {
        /// The attempt that the message is about.
        attempt: AttemptId,
        /// The number of chunks in the response.
        pieces: u32,
        /// The token counts of a completion.
        usage: Usage,
    },
    /// Reports that the attempt ended without a complete response.
    Refused {
        /// The attempt that the message is about.
        attempt: AttemptId,
        /// The reason, and whether the request may have run.
        refusal: Refusal,
    },

    /// Reports the load of the sender's backend server.
    Load(LoadReport),
    /// Announces that the sender accepts no new work from now on.
    Leaving,
    /// Lists KV cache blocks that were added and removed; a hint that may be out of date.
    Blocks {
        /// The sequence number of the sender's changes; after a gap the receiver requests a resync.
        sequence: u64,
        /// Whether `added` lists all blocks that the sender has, instead of the changes.
        whole: bool,
        /// Blocks that can be read from now on.
        added: Vec<BlockKey>,
        /// Blocks that can no longer be read.
        removed: Vec<BlockKey>,
    },
    /// Requests the full list of blocks, after a gap in the sequence numbers.
    ResyncBlocks,

    /// Requests that a store's side store a block.
    PutBlock {
        /// The key of the block.
        key: BlockKey,
        /// The tier of the client account that the block belongs to.
        tier: Tier,
        /// The share of the store that blocks of trial accounts may occupy, in percent.
        trial_percent: u8,
        /// The contents of the block.
        data: Bytes,
    },
    /// Requests a block from a store's side.
    GetBlock {
        /// The key of the block.
        key: BlockKey,
    },
    /// Replies to [`Message::GetBlock`]; the data is absent unless the store holds the block
    /// complete and sealed.
    Block {
        /// The key of the block.
        key: BlockKey,
        /// The contents of the block.
        data: Option<Bytes>,
    },
    /// Requests from a store's side which of the given blocks it does not hold.
    HasBlocks {
        /// The keys of the blocks.
        keys: Vec<BlockKey>,
    },
    /// Replies to [`Message::HasBlocks`] with the blocks that the store does not hold.
    LacksBlocks {
        /// The keys of the absent blocks.
        keys: Vec<BlockKey>,
    },

    /// Proposes a command for the replicated log to a control instance.
    Propose {
        /// A number that [`Message::Result`] repeats.
        tag: u64,
        /// The proposed command.
        command: Box<Command>,
    },
    /// Replies to [`Message::Propose`].
    Result {
        /// The tag of the proposal.
        tag: u64,
        /// The result of the command.
        result: Box<CommandResult>,
    },
    /// Orders a side to have its engine load a weight version.
    Order {
        /// The fencing number of the order.
        fence: u64,
        /// The weight version to load.
        version: WeightVersion,
    },
    /// Replies to [`Message::Order`].
    OrderDone {
        /// The fencing number of the order.
        fence: u64,
        /// The weight version that the engine holds now.
        version: WeightVersion,
        /// The reason why the order was not carried out; `None` when it was.
        refusal: Option<Refusal>,
    },
    /// Carries a Raft message between two control instances.
    Raft {
        /// The identity of the sending replica.
        from: u64,
        /// The identity of the receiving replica; 0 when the sender does not know it.
        to: u64,
        /// The Raft message.
        message: Box<RaftMessage>,
    },

    /// Requests the fleet state from the leading control instance.
    FleetQuery(FleetQuery),
    /// Sends the fleet state in force, as a reply or after a change.
    Fleet(Box<FleetState>),
    /// Rejects a [`Message::FleetQuery`], because the receiver is not the leader or has not
    /// confirmed that it is.
    NotLeader {
        /// The leading control instance, if it is known.
        leader: Option<InstanceName>,
    },
    /// Lists all backend servers in the platform's instance list.
    Runners(Vec<RunnerRecord>),
    /// Reports the loads of the runners that the sending side manages to the leader.
    RunnerLoads(Vec<RunnerLoad>),
    /// Sends changes of the directory of stored parts to entries; one allocation is shared by all
    /// receivers.
    Directory(Arc<DirectoryUpdate>),
    /// Reports parts that the sender's requests used recently, so that stores keep them.
    PartsUsed(Vec<PartKey>),
    /// Orders a side to have its runner load a weight version.
    WeightOrder(WeightOrder),
    /// Sends the runner loads that changed from the leader to entries.
    RunnerLoadUpdate(Vec<RunnerLoadUpdate>),
    /// Reports an entry's demand for runners with request limits to the leader.
    LimitReport(LimitReport),
    /// Grants permits for requests to such runners to an entry.
    LimitGrants(LimitGrants),
    /// Sends request limits that changed from the leader to entries.
    RunnerLimits(Vec<LimitUpdate>),
    /// Reports parts of prompts that may crash runners to the leader.
    PartReport(PartReport),
    /// Sends the leader's verdicts on such parts to entries.
    PartVerdicts(Arc<PartVerdicts>),
    /// Sends the software versions of backend servers to entries.
    RunnerSoftware(RunnerSoftware),
    /// Reports the origins of streams that began at an entry to a control instance.
    StreamOrigins(Vec<(StreamKey, StreamOrigin)>),
    /// Asks a control instance for the origin of a stream.
    OriginQuery {
        /// A number that the reply repeats.
        number: u64,
        /// The stream.
        stream: StreamKey,
    },
    /// Replies to [`Message::OriginQuery`].
    OriginReply {
        /// The number of the query.
        number: u64,
        /// The origin; `None` if the sender doesn't know it.
        origin: Option<StreamOrigin>,
    },
    /// Sends the rates of cold backend servers to entries.
    RunnerWarmUps(RunnerWarmUps),
    /// Sends all data centres that are evacuated to entries, before the fleet state.
    Evacuations(Vec<DataCentre>),
    /// Names backend servers that stated that they are leaving: from an entry to all control instances,
    /// and from the leader to entries.
    LeavingRunners(Vec<LeavingRunner>),
}

impl Message {
    /// Returns the lowest [`crate::MESSAGE_SET`] of a peer that can decode the message. New kinds of
    /// messages are added behind the others, so that the encoding of these stays as it is.
    pub fn message_set(&self) -> u32 {
        match self {
            Self::PartReport(_)
            | Self::PartVerdicts(_)
            | Self::RunnerSoftware(_)
            | Self::StreamOrigins(_)
            | Self::OriginQuery { .. }
            | Self::OriginReply { .. } => 1,
            Self::Raft { message, .. } => match &**message {
                RaftMessage::NotMember => 2,
                RaftMessage::Stopping | RaftMessage::MayStop => 4,
                RaftMessage::Append { entries, .. } => {
                    let sets = entries.iter().map(|e| e.command.message_set());
                    sets.max().unwrap_or(0)
                }
                _ => 0,
            },
            Self::Propose { command, .. } => command.message_set(),
            Self::RunnerWarmUps(_) | Self::Evacuations(_) | Self::LeavingRunners(_) => 3,
            _ => 0,
        }
    }

    /// Returns the name of the message's variant, or of the variant of a nested [`RaftMessage`], for
    /// logs.
    pub fn kind(&self) -> String {
        match self {
            Self::Raft { message, .. } => variant_name(message),
            _ => variant_name(self),
        }
    }

    /// Returns the change in the number of outstanding requests of a connection: 1 for a request
    /// that is sent, -1 for a reply that is received, 0 for all other messages. The number of
    /// outstanding requests decides how often the connection is probed for a peer that stopped
    /// responding.
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

/// Returns the first word that `value` is formatted as, which is the name of an enum's variant.
fn variant_name<T>(value: &T) -> String
where
    T: std::fmt::Debug,
{
    /// Takes one word and then fails, so that a large value isn't formatted as a whole.
    struct FirstWord(String);
    impl std::fmt::Write for FirstWord {
        fn write_str(&mut self, text: &str) -> std::fmt::Result {
            let word = text.split(|c: char| !c.is_alphanumeric()).next();
            self.0.push_str(word.unwrap_or_default());
            let is_whole = word.is_some_and(|word| word.len() < text.len());
            (!is_whole).then_some(()).ok_or(std::fmt::Error)
        }
    }
    let mut first = FirstWord(String::new());
    // The error is how the formatting ends after the first word.
    let _ended = std::fmt::write(&mut first, format_args!("{value:?}"));
    first.0
}
