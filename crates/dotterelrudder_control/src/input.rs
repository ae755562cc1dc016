//! Inputs of the control role: the events that it handles, and the origins of commands.

use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::RunnerRecord;

use crate::StoreReport;

/// The proposer of a command, which receives the result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A request at this replica's operator port, by its tag.
    Local(u64),
    /// A process that sent [`Message::Propose`].
    Peer {
        /// The process.
        name: InstanceName,
        /// The tag to return with the result.
        tag: u64,
    },
    /// A process that has just started and subscribes to the configuration.
    Subscriber(InstanceName),
    /// The replica itself; the result is dropped.
    Internal,
}

/// One event that the control role handles.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Time has passed; due timers run.
    Tick,
    /// A connection to a process opened.
    Opened {
        /// The connected process.
        peer: InstanceName,
        /// The newest kinds of messages that it can decode.
        message_set: u32,
    },
    /// A connection to a process closed or timed out.
    Closed {
        /// The disconnected process.
        peer: InstanceName,
    },
    /// A message arrived.
    Message {
        /// The sender.
        from: InstanceName,
        /// The message.
        message: Message,
    },
    /// An operator's request at this replica proposes a command.
    Propose {
        /// Tag of the request, returned with the result.
        tag: u64,
        /// The command.
        command: Command,
    },
    /// Journal records are synced to disk.
    Synced {
        /// Number of the last synced record; all earlier ones are synced too.
        sequence: u64,
    },
    /// The process is about to stop; the replica hands over its leadership and its vote.
    Stop,
    /// The set of known control instances changed.
    Peers {
        /// All known control instances but this one.
        peers: Vec<InstanceName>,
    },
    /// A store was read, or did not answer.
    Store(StoreReport),
    /// A control instance, this one or another, runs in a data centre.
    ControlSeen {
        /// The data centre.
        data_centre: DataCentre,
    },
    /// The platform's list of backend servers was read.
    RunnersListed {
        /// The complete list.
        rows: Vec<RunnerRecord>,
    },
    /// The wall clock advanced; its time is used for audit rows and retention.
    WallClock {
        /// Milliseconds since the Unix epoch.
        at_ms: u64,
    },
}
