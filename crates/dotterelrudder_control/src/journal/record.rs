//! A record of the journal and its encoding.

use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Member;
use serde::Deserialize;
use serde::Serialize;

/// A record of the journal. Later records replace or extend the state that earlier ones describe.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The identity of the disk and how often it was started.
    Identity {
        /// The replica's identity; never 0.
        id: u64,
        /// The number of the start; each start of the disk adds 1.
        boot: u64,
    },
    /// The current term and the vote in it.
    HardState {
        /// The highest term known to the replica.
        term: u64,
        /// The replica that received the vote; 0 for none.
        voted_for: u64,
    },
    /// An entry of the replicated log; replaces the entries at its index and after.
    Entry(LogEntry),
    /// A snapshot that replaces the entries up to its index.
    Snapshot {
        /// The index of the last covered entry.
        index: u64,
        /// The term of that entry.
        term: u64,
        /// The members at that index.
        members: Vec<Member>,
        /// The encoded replicated state.
        data: Vec<u8>,
    },
    /// The newest start known of a peer.
    PeerBoot {
        /// The peer's identity.
        id: u64,
        /// The number of its start.
        boot: u64,
        /// The random number of that start, which distinguishes a repeated message from a rolled-back
        /// disk.
        nonce: u64,
    },
}

impl Record {
    /// Appends the encoded record, with its header, to `buf`.
    pub fn encode(&self, buf: &mut Vec<u8>) {
        let body = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("every type in a record can be encoded by bincode");
        buf.extend_from_slice(&(body.len() as u32).to_le_bytes());
        buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        buf.extend_from_slice(&body);
    }
}
