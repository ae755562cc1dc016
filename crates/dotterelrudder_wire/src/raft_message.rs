//! Messages of the replicated log.

use serde::Deserialize;
use serde::Serialize;

use crate::Command;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term in which a leader made the entry.
    pub term: u64,
    /// The entry's place in the log, from 1.
    pub index: u64,
    /// What it changes.
    pub command: Command,
}

/// Messages after Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
/// 2014, with pre-vote from Ongaro's dissertation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RaftMessage {
    /// Asks for a vote, or with `pre` whether a vote would be given.
    Vote {
        /// The candidate's term; with `pre` the term it would start.
        term: u64,
        /// Whether this only sounds out.
        pre: bool,
        /// The index of the candidate's last entry.
        last_index: u64,
        /// The term of the candidate's last entry.
        last_term: u64,
        /// Whether the leader asked for this election, which waives its lease.
        transfer: bool,
    },
    /// Answers [`RaftMessage::Vote`].
    VoteReply {
        /// The voter's term.
        term: u64,
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Carries entries, or none as a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// The index before the first entry.
        prev_index: u64,
        /// The term of the entry before the first one.
        prev_term: u64,
        /// The entries.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: u64,
        /// A number that the reply returns, to date the follower's contact.
        round: u64,
    },
    /// Answers [`RaftMessage::Append`] and [`RaftMessage::Snapshot`].
    AppendReply {
        /// The follower's term.
        term: u64,
        /// Whether the entries fitted.
        matched: bool,
        /// The last index known to match and synced, or a hint where to go back to.
        index: u64,
        /// The number of the message answered.
        round: u64,
    },
    /// Replaces everything that a far follower holds.
    Snapshot {
        /// The leader's term.
        term: u64,
        /// The last index that the snapshot covers.
        index: u64,
        /// The term of that entry.
        last_term: u64,
        /// Where in the encoded state this part begins.
        offset: u64,
        /// The size of the whole encoded state.
        total: u64,
        /// A part of the encoded state.
        data: Vec<u8>,
        /// A number that the reply returns.
        round: u64,
    },
    /// Asks a follower to start an election at once, for a planned stop.
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
    /// Tells the peers of a start; see docs/design/disk-identity.md.
    Boot {
        /// How often this disk was started, this start included.
        boot: u64,
        /// A random number of this start, which tells a repeated question from a rolled-back disk.
        nonce: u64,
        /// The last index that the disk holds.
        last_index: u64,
    },
    /// Answers [`RaftMessage::Boot`].
    BootReply {
        /// The number of the start answered.
        boot: u64,
        /// The highest number of a start that the peer knew before.
        known_boot: u64,
        /// The highest synced index that the peer was ever told.
        known_index: u64,
        /// Whether the peer holds the asking replica for a member, or can't tell.
        member: bool,
    },
    /// Answers [`RaftMessage::Join`].
    JoinReply {
        /// Whether the answering replica belongs to no deployment either.
        empty: bool,
    },
    /// Asks to be added as a learner under a new identity.
    Join {
        /// The asking replica, with its address.
        member: crate::Member,
    },
}
