//! Messages between the processes of the system and their frames.
//!
//! A frame is a length and a bincode body. docs/PROTOCOLS.md describes the hello, the size limit
//! and the messages that each role sends.

mod answer;
mod claim;
mod command;
mod command_result;
mod fleet;
mod frame;
mod hello;
mod load_report;
mod message;
pub mod prelude;
mod raft_message;
mod work;

pub use answer::AnswerChunk;
pub use answer::Usage;
pub use claim::ClaimKey;
pub use claim::ClaimVerdict;
pub use command::Command;
pub use command::Member;
pub use command_result::CommandResult;
pub use fleet::cache_salt;
pub use fleet::weights_of_salt;
pub use fleet::DirectoryUpdate;
pub use fleet::FleetQuery;
pub use fleet::FleetState;
pub use fleet::LimitGrants;
pub use fleet::LimitReport;
pub use fleet::LimitUpdate;
pub use fleet::ModelWeights;
pub use fleet::PartKey;
pub use fleet::RunnerAttributes;
pub use fleet::RunnerDemand;
pub use fleet::RunnerGrant;
pub use fleet::RunnerLoad;
pub use fleet::RunnerLoadSample;
pub use fleet::RunnerLoadUpdate;
pub use fleet::RunnerRecord;
pub use fleet::StoreStatus;
pub use fleet::StoredPart;
pub use fleet::WeightOrder;
pub use fleet::DIRECTORY_LEASE;
pub use fleet::FETCH_LIMIT;
pub use fleet::MIN_LIMIT_RATE;
pub use fleet::PERMIT_VALIDITY;
pub use fleet::RESERVED_SHARE;
pub use frame::encode_frame;
pub use frame::FrameDecoder;
pub use frame::FrameError;
pub use frame::MAX_FRAME_BYTES;
pub use hello::Envelope;
pub use hello::Hello;
pub use hello::PROTOCOL_VERSION;
pub use load_report::LoadReport;
pub use message::Message;
pub use raft_message::LogEntry;
pub use raft_message::RaftMessage;
pub use work::Start;
pub use work::Work;
