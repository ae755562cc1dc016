//! Outputs of the control role: the effects that its driver carries out.

use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::Message;

use crate::FreePartsOrder;
use crate::Record;

/// One effect; the driver carries effects out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message to a process; it is dropped if no connection is open.
    Send {
        /// The receiver.
        to: InstanceName,
        /// The message.
        message: Message,
    },
    /// Append a record to the journal and confirm it by [`crate::Input::Synced`] after a sync.
    Persist {
        /// Number of the record.
        sequence: u64,
        /// The record.
        record: Record,
    },
    /// Replace the contents of the journal by these records.
    Rewrite {
        /// Number to confirm by [`crate::Input::Synced`].
        sequence: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Return the result of an operator's request.
    Answer {
        /// Tag of the request, as in [`crate::Input::Propose`].
        tag: u64,
        /// The result.
        result: CommandResult,
    },
    /// Order a store to free parts.
    FreePartsOrder(FreePartsOrder),
    /// A new configuration revision is in force at this replica.
    InForce {
        /// Its revision.
        revision: Revision,
    },
    /// The set of evacuated data centres changed at this replica.
    Evacuations {
        /// All evacuated data centres.
        evacuated: Vec<DataCentre>,
    },
    /// This replica leads and noticed that the evacuation of a data centre ended.
    EvacuationEnded {
        /// The data centre.
        data_centre: DataCentre,
        /// The number of backend servers that the platform lists there.
        runners: usize,
    },
    /// The disk was found rolled back, damaged or replaced; the replica took a new identity.
    NewIdentity {
        /// The previous identity; 0 when the disk held none.
        old: u64,
        /// The new identity.
        new: u64,
    },
}
