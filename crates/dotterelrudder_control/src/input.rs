//! What drives the control role.

use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::RunnerRecord;

use crate::StoreReport;

/// Who proposed a command and waits for its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A request at this replica's operator port.
    Local(u64),
    /// A process that sent [`Message::Propose`].
    Peer {
        /// The process.
        name: InstanceName,
        /// The tag to return.
        tag: u64,
    },
    /// A process that starts and asks for the newest configuration.
    Subscriber(InstanceName),
    /// The replica itself; nobody waits.
    Internal,
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
        /// The message.
        message: Message,
    },
    /// An operator's request proposes a command.
    Propose {
        /// Returned with the result.
        tag: u64,
        /// The command.
        command: Command,
    },
    /// All records up to this number are synced.
    Synced {
        /// The number of the last record synced.
        sequence: u64,
    },
    /// The process shall stop: hand over leadership.
    Stop,
    /// The addresses of other control instances changed.
    Peers {
        /// All others that are known.
        peers: Vec<InstanceName>,
    },
    /// A store told what it holds.
    Store(StoreReport),
    /// The platform's list of backend servers was read.
    RunnersListed {
        /// The whole list.
        rows: Vec<RunnerRecord>,
    },
    /// Wall-clock time, for audit rows and retention.
    WallClock {
        /// Milliseconds since the epoch.
        at_ms: u64,
    },
}
