//! Outputs of the entry role: the effects that its driver carries out.

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Usage;

/// One event of the answer to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerEvent {
    /// The backend server began to answer.
    Started {
        /// The weight version of the answering engine; empty for a plain service or a stored
        /// answer.
        version: WeightVersion,
        /// The HTTP status.
        status: u16,
        /// The media type of the answer of a plain service.
        content_type: CompactString,
    },
    /// The text of one token, or a chunk of a response body.
    Chunk(Bytes),
    /// The answer is complete.
    Finished(Usage),
    /// The request was refused, or its answer ends incomplete.
    Refused(Refusal),
}

/// One effect; effects are carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Sends a message to a process, or drops it if no connection is open.
    Send {
        /// The name of the receiver.
        to: InstanceName,
        /// The message.
        message: Message,
    },
    /// Sends an event of the answer to a caller.
    Respond {
        /// The id of the request.
        id: u64,
        /// The event of the answer.
        event: AnswerEvent,
    },
    /// Reports, for the log, that an attempt was sent to a side.
    Placed {
        /// The id of the request.
        id: u64,
        /// The id of the attempt.
        attempt: AttemptId,
        /// The name of the side.
        side: InstanceName,
    },
    /// Reports that a new configuration is in force at this entry.
    InForce {
        /// The revision of the configuration.
        revision: Revision,
    },
    /// All requests have ended after [`Input::Stop`](crate::Input::Stop); the process may exit.
    Exit,
}
