//! One record of the journal and its bytes.

use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Member;
use serde::Deserialize;
use serde::Serialize;

/// One record of the journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The identity of the disk and how often it was started.
    Identity {
        /// The replica's identity; never 0.
        id: u64,
        /// The number of the start.
        boot: u64,
    },
    /// The term and the vote given in it; 0 for none.
    HardState {
        /// The term.
        term: u64,
        /// Who got the vote.
        voted_for: u64,
    },
    /// An entry; one at the same index or later replaces what stood there.
    Entry(LogEntry),
    /// A snapshot that replaces the entries up to its index.
    Snapshot {
        /// The last index covered.
        index: u64,
        /// The term of that entry.
        term: u64,
        /// The members at that index.
        members: Vec<Member>,
        /// The encoded state.
        data: Vec<u8>,
    },
    /// The highest start known of a peer.
    PeerBoot {
        /// The peer's identity.
        id: u64,
        /// The number of its start.
        boot: u64,
        /// The random number of that start.
        nonce: u64,
    },
}

impl Record {
    /// Appends the record's bytes.
    pub fn encode(&self, buf: &mut Vec<u8>) {
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("records hold only types that bincode can write");
        buf.extend_from_slice(&(body.len() as u32).to_le_bytes());
        buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        buf.extend_from_slice(&body);
    }
}
