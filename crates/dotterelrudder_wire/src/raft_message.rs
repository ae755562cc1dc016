//! Raft messages and entries of control's replicated log.

use serde::Deserialize;
use serde::Serialize;

use crate::Command;

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the leader that created the entry.
    pub term: u64,
    /// The index of the entry in the log, from 1.
    pub index: u64,
    /// The command that is applied when the entry is committed.
    pub command: Command,
}

/// Raft messages after Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
/// 2014, with pre-vote from Ongaro's dissertation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RaftMessage {
    /// Requests a vote, or with `pre` a pre-vote, which asks whether the receiver would grant one.
    Vote {
        /// The candidate's term; with `pre` the term that the candidate would start.
        term: u64,
        /// Whether this is a pre-vote, which changes no term and binds no voter.
        pre: bool,
        /// The index of the candidate's last entry.
        last_index: u64,
        /// The term of the candidate's last entry.
        last_term: u64,
        /// Whether the leader requested this election to transfer leadership; voters then ignore
        /// the leader's lease.
        transfer: bool,
    },
    /// Replies to [`RaftMessage::Vote`].
    VoteReply {
        /// The voter's term.
        term: u64,
        /// Whether this is the reply to a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates log entries; a message without entries is a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// The index of the entry that precedes the first one sent.
        prev_index: u64,
        /// The term of the entry that precedes the first one sent.
        prev_term: u64,
        /// The entries, in the order of their indices.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: u64,
        /// A number that the reply repeats, from which the leader knows when the follower was last
        /// in contact.
        round: u64,
    },
    /// Replies to [`RaftMessage::Append`] and [`RaftMessage::Snapshot`].
    AppendReply {
        /// The follower's term.
        term: u64,
        /// Whether the follower's log matched at the preceding entry.
        matched: bool,
        /// The last index known to match and to be synced to disk; after a mismatch, a hint to the
        /// index that the leader should go back to.
        index: u64,
        /// The round number of the message that this replies to.
        round: u64,
    },
    /// Sends a part of a snapshot, which replaces the whole state of a follower that is too far
    /// behind to be sent log entries.
    Snapshot {
        /// The leader's term.
        term: u64,
        /// The last index that the snapshot covers.
        index: u64,
        /// The term of the entry at that index.
        last_term: u64,
        /// The offset of this part in the encoded state, in bytes.
        offset: u64,
        /// The size of the whole encoded state, in bytes.
        total: u64,
        /// The bytes of this part of the encoded state.
        data: Vec<u8>,
        /// A number that the reply repeats.
        round: u64,
    },
    /// Transfers leadership: requests that a follower start an election at once, before a planned
    /// stop of the leader.
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
    /// Announces a start of the replica to its peers; see docs/design/disk-identity.md.
    Boot {
        /// The number of starts from this disk, including this one.
        boot: u64,
        /// A random number of this start, which distinguishes a resent announcement from a start on
        /// a disk that was rolled back.
        nonce: u64,
        /// The last log index that the disk holds.
        last_index: u64,
    },
    /// Replies to [`RaftMessage::Boot`].
    BootReply {
        /// The start number of the announcement that this replies to.
        boot: u64,
        /// The highest start number that the peer knew before the announcement.
        known_boot: u64,
        /// The highest synced index that the restarted replica is known to have reported to the
        /// peer; 0 when the peer does not lead.
        known_index: u64,
        /// Whether the restarted replica is a member as far as the peer knows; also true when the
        /// peer cannot determine it.
        member: bool,
    },
    /// Replies to [`RaftMessage::Join`].
    JoinReply {
        /// Whether the replying replica belongs to no deployment either.
        empty: bool,
    },
    /// Requests that the sender be added as a learner.
    Join {
        /// The replica to add, with the instance that runs it.
        member: crate::Member,
    },
    /// Informs a replica that announced a start that the committed members exclude it. Only a leader
    /// that holds its lease sends this.
    NotMember,
    /// Announces a planned stop of the sender, and requests that the leader hand its vote to a
    /// learner.
    Stopping,
    /// Replies to [`RaftMessage::Stopping`] that the sender has no vote, or that no learner can take
    /// it.
    MayStop,
}
