//! The handshake of a connection (the first frame in each direction) and the envelope of each
//! message after it.

use compact_str::CompactString;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use serde::Deserialize;
use serde::Serialize;

use crate::Message;

/// The protocol version; connections from peers with another version are refused.
pub const PROTOCOL_VERSION: u16 = 4;

/// The number of the newest kinds of messages that this process can decode. Peers tell it to each
/// other in a header of the connection, which older peers ignore, and are sent no newer kinds; 0 is
/// that of peers without the header.
pub const MESSAGE_SET: u32 = 5;

/// The message set from which on control replicas need a majority of the voters before and of those
/// after a change of members that replaces a voter. Such a change is sent in no new kind of message.
pub const REPLACEMENT_MESSAGE_SET: u32 = 5;

/// The name of that header.
pub const MESSAGE_SET_HEADER: &str = "message-set";

/// A message with the configuration revision of its sender, so that the peer with the older
/// revision can request the newer configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The configuration revision that the sender holds.
    pub revision: Revision,
    /// The message itself.
    pub message: Message,
}

/// Identifies and authenticates a peer; no other frame of the peer is decoded before this one has
/// been checked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol version of the peer, compared with [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// The secret that all instances of the deployment share.
    pub secret: CompactString,
    /// The instance name of the peer.
    pub name: InstanceName,
    /// The role of the peer's process.
    pub role: Role,
    /// The data centre that the peer runs in.
    pub data_centre: DataCentre,
    /// A random number that the peer generated at its start; it changes with every restart.
    pub incarnation: u64,
    /// The configuration revision that the peer holds.
    pub revision: Revision,
}
