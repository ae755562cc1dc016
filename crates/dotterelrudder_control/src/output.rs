//! What the control role asks of its surroundings.

use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::Message;

use crate::FreePartsOrder;
use crate::Record;

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
    /// Append a record to the journal; answer with [`crate::Input::Synced`] after a sync.
    Persist {
        /// The record's number.
        sequence: u64,
        /// The record.
        record: Record,
    },
    /// Replace the journal by these records.
    Rewrite {
        /// The number to answer with.
        sequence: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Answer an operator's request.
    Answer {
        /// The tag of the request.
        tag: u64,
        /// The result.
        result: CommandResult,
    },
    /// Have a store free parts.
    FreePartsOrder(FreePartsOrder),
    /// A configuration came into force here.
    InForce {
        /// Its revision.
        revision: Revision,
    },
    /// The disk was found rolled back, damaged or replaced; a new identity was taken.
    NewIdentity {
        /// The identity given up.
        old: u64,
        /// The identity taken.
        new: u64,
    },
}
