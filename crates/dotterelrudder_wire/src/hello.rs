//! The first frame of each direction of a connection.

use compact_str::CompactString;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use serde::Deserialize;
use serde::Serialize;

use crate::Message;

/// The version of the messages; peers with another one are refused.
pub const PROTOCOL_VERSION: u16 = 3;

/// Carries a message with the sender's revision, so that the one behind can pull from the one ahead.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The configuration's revision that the sender holds.
    pub revision: Revision,
    /// The message.
    pub message: Message,
}

/// Says who speaks; nothing else is read from a peer before this was checked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// The version of the messages that the peer speaks.
    pub protocol: u16,
    /// The deployment's secret.
    pub secret: CompactString,
    /// The peer's name.
    pub name: InstanceName,
    /// The peer's role.
    pub role: Role,
    /// The peer's data centre.
    pub data_centre: DataCentre,
    /// A random number that the peer drew when it started.
    pub incarnation: u64,
    /// The configuration's revision that the peer holds.
    pub revision: Revision,
}
