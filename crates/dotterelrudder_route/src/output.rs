//! What the entry role asks of its surroundings.

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Usage;

/// A part of the answer to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerEvent {
    /// The answer begins.
    Started {
        /// The weight version that answers; empty for a plain service or a stored answer.
        version: WeightVersion,
        /// The HTTP status.
        status: u16,
        /// The media type of a plain service's answer.
        content_type: CompactString,
    },
    /// The text of a token, or a chunk of a body.
    Chunk(Bytes),
    /// The answer is whole.
    Finished(Usage),
    /// There is no answer, or it ends incomplete.
    Refused(Refusal),
}

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
    /// Answer a caller.
    Respond {
        /// The request.
        id: u64,
        /// A part of the answer.
        event: AnswerEvent,
    },
    /// A request was handed to a side; for the log.
    Placed {
        /// The request.
        id: u64,
        /// The attempt.
        attempt: AttemptId,
        /// The side.
        side: InstanceName,
    },
    /// A configuration came into force here.
    InForce {
        /// Its revision.
        revision: Revision,
    },
    /// All work is done; the process may exit.
    Exit,
}
