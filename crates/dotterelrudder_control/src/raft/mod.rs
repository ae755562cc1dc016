//! The Raft replica that holds the replicated log of control.
//!
//! Implements Raft as published by Ongaro and Ousterhout (2014), with pre-vote, check-quorum, a
//! leader lease, learners, a check of the disk's identity, and group sync: several journal records
//! share one sync of the disk. The replica does no I/O and reads no clock: callers pass the time
//! and the received messages, and carry out the [`RaftOutput`]s that it returns.

mod boot;
mod change_blocker;
mod election;
mod hand_over;
mod heartbeat_round;
mod log;
mod membership;
mod progress;
mod replication;
mod timing;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Member;
use dotterelrudder_wire::RaftMessage;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Record;
use crate::Recovered;
use boot::LeaderContact;
pub use change_blocker::ChangeBlocker;
use heartbeat_round::HeartbeatRound;
use log::Log;
use membership::RESTART_TIMEOUT;
use progress::Progress;
pub use timing::RaftTiming;

/// An action that the caller of [`Raft`] carries out, in the order of the outputs.
#[derive(Debug, Clone, PartialEq)]
pub enum RaftOutput {
    /// Send a message to a replica.
    Send {
        /// The identity of the receiving replica.
        to: u64,
        /// The message.
        message: RaftMessage,
    },
    /// Write a record to the journal; it may be synced together with other records.
    Persist(Record),
    /// Apply a committed entry to the replicated state.
    Apply(LogEntry),
    /// Replace the replicated state by the state encoded in a snapshot.
    Restore(Vec<u8>),
    /// Replace the whole journal by these records.
    Rewrite(Vec<Record>),
    /// The disk was rolled back or replaced, or the peers no longer list this replica as a member;
    /// the replica has to join again under a new identity.
    IdentityLost,
}

/// The role of a replica, with the state that only this role has.
#[derive(Debug)]
enum RaftRole {
    Follower,
    PreCandidate {
        votes: BTreeSet<u64>,
    },
    Candidate {
        votes: BTreeSet<u64>,
    },
    Leader {
        progress: BTreeMap<u64, Progress>,
        /// The number of the last heartbeat round; replies return it.
        round: u64,
        heartbeat_at: Duration,
    },
}

/// One replica of the replicated log, identified by the identity of its disk.
#[derive(Debug)]
pub struct Raft {
    id: u64,
    /// How often this disk was started, this start included.
    boot: u64,
    boot_nonce: u64,
    timing: RaftTiming,
    rng: ChaCha8Rng,
    term: u64,
    /// The replica that received the vote in `term`; 0 for none.
    voted_for: u64,
    log: Log,
    /// The members at the index of the snapshot.
    snapshot_members: Vec<Member>,
    /// The members by the newest membership entry of the log, committed or not.
    members: Vec<Member>,
    /// The voters before a replacement that is not concluded; empty without one.
    replaced_voters: Vec<u64>,
    /// The newest kinds of messages that the instances of other replicas can decode.
    message_sets: BTreeMap<InstanceName, u32>,
    commit: u64,
    applied: u64,
    role: RaftRole,
    leader: Option<u64>,
    /// The last leader that this replica followed, and when it last heard from it.
    last_leader: Option<u64>,
    last_leader_contact: Option<Duration>,
    /// The highest commit index that a leader sent.
    leader_commit: u64,
    election_at: Duration,
    /// In how many elections this replica stood or voted since it last had a leader.
    undecided_elections: u32,
    /// The number of the newest record of the term and the vote.
    hard_state_sequence: u64,
    persist_sequence: u64,
    synced_sequence: u64,
    /// The record number and the index of each entry that is not yet synced.
    unsynced_entries: VecDeque<(u64, u64)>,
    synced_index: u64,
    /// Messages to send once a record is synced: record number, receiver, message.
    awaiting_sync: VecDeque<(u64, u64, RaftMessage)>,
    /// The numbers and send times of the last heartbeat rounds.
    rounds: VecDeque<HeartbeatRound>,
    /// Whether the peers confirmed that the disk was not rolled back.
    confirmed: bool,
    boot_confirmations: BTreeSet<u64>,
    boot_rejections: BTreeSet<u64>,
    boot_sent_at: Option<Duration>,
    heard_unconfirmed: Option<LeaderContact>,
    /// The newest start known of each peer: its number and its nonce.
    peer_boots: BTreeMap<u64, (u64, u64)>,
    incoming_snapshot: Vec<u8>,
    target_voters: Option<usize>,
    /// Whether this replica is about to stop as planned.
    stopping: bool,
    hand_over_sent_at: Option<Duration>,
    /// Whether the leader replied that this replica may stop.
    may_stop: bool,
    /// Members that announced a planned stop to this leader, and when they last did.
    stopping_members: BTreeMap<u64, Duration>,
    started_at: Duration,
    /// When the record of this start was synced.
    start_synced_at: Option<Duration>,
    out: Vec<RaftOutput>,
}

impl Raft {
    /// Creates a replica from its recovered journal. `recovered.id` must not be 0.
    pub fn new(recovered: Recovered, timing: RaftTiming, seed: u64, now: Duration) -> Self {
        let (index, term, members, data) = recovered.snapshot.unwrap_or_default();
        let log = Log::new(index, term, data, recovered.entries);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut raft = Self {
            id: recovered.id,
            boot: recovered.boot + 1,
            boot_nonce: rng.random(),
            timing,
            rng,
            term: recovered.term,
            voted_for: recovered.voted_for,
            synced_index: log.last_index(),
            log,
            snapshot_members: members.clone(),
            members,
            replaced_voters: Vec::new(),
            message_sets: BTreeMap::new(),
            commit: index,
            applied: index,
            role: RaftRole::Follower,
            leader: None,
            last_leader: None,
            last_leader_contact: None,
            leader_commit: 0,
            election_at: now,
            undecided_elections: 0,
            hard_state_sequence: 0,
            persist_sequence: 0,
            synced_sequence: 0,
            unsynced_entries: VecDeque::new(),
            awaiting_sync: VecDeque::new(),
            rounds: VecDeque::new(),
            confirmed: false,
            boot_confirmations: BTreeSet::new(),
            boot_rejections: BTreeSet::new(),
            boot_sent_at: None,
            heard_unconfirmed: None,
            peer_boots: recovered.peer_boots,
            incoming_snapshot: Vec::new(),
            target_voters: None,
            stopping: false,
            hand_over_sent_at: None,
            may_stop: false,
            stopping_members: BTreeMap::new(),
            started_at: now,
            start_synced_at: None,
            out: Vec::new(),
        };
        raft.recompute_members();
        raft.schedule_election_after(timing.first_election, now);
        raft.persist(Record::Identity {
            id: raft.id,
            boot: raft.boot,
        });
        if index > 0 {
            raft.out
                .push(RaftOutput::Restore(raft.log.snapshot_data().to_vec()));
        }
        raft.confirm_if_sole_voter();
        raft
    }

    /// Makes this replica the only member. Must be called only to found a deployment.
    pub fn bootstrap(&mut self, member: Member, now: Duration) {
        self.term += 1;
        self.persist_hard_state();
        let entry = LogEntry {
            term: self.term,
            index: self.log.last_index() + 1,
            command: Command::Members {
                members: vec![member],
            },
        };
        self.append_entry(entry);
        self.confirm_if_sole_voter();
        self.election_at = now;
    }

    /// Sets the target number of voters, `None` for no limit. Further replicas stay learners until a
    /// voter is lost.
    pub fn set_voters(&mut self, voters: Option<usize>) {
        self.target_voters = voters;
    }

    /// Returns the number of voters among the members.
    pub fn voter_count(&self) -> usize {
        self.members.iter().filter(|m| m.voter).count()
    }

    /// Returns whether this replica leads, was in contact with a quorum within the lease, and has
    /// applied an entry of its own term, so that its state holds every change that was ever
    /// acknowledged.
    pub fn holds_leader_lease(&self, now: Duration) -> bool {
        self.is_leader()
            && self.confirmed
            && self.is_fresh(now)
            && self.applied == self.commit
            && self.log.term_at(self.commit) == Some(self.term)
    }

    /// Returns the identity of the replica, which is that of its disk.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the highest term that this replica knows.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the highest index known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the last index of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the entry at an index, or `None` if a snapshot covers it or the log ends before it.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        self.log.entry(index)
    }

    /// Returns the members by the newest membership entry of the log, learners included.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the leader of the current term, if this replica knows it.
    pub fn leader(&self) -> Option<u64> {
        self.leader
    }

    /// Returns whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RaftRole::Leader { .. })
    }

    /// Returns whether a quorum confirmed that the disk of this replica was not rolled back.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns whether this replica was in contact with a quorum within the lease. A follower counts
    /// the contact with its leader, and must also have applied every entry up to the highest commit
    /// index that it received.
    pub fn is_fresh(&self, now: Duration) -> bool {
        if self.is_leader() {
            return now.saturating_sub(self.quorum_contact(now)) < self.timing.lease;
        }
        let contact_age = self.last_leader_contact.map(|at| now.saturating_sub(at));
        let caught_up = self.leader_commit > 0 && self.applied >= self.leader_commit;
        self.leader.is_some() && caught_up && contact_age.is_some_and(|age| age < self.timing.lease)
    }

    /// Returns whether this replica has heard from no leader for so long that it may have been
    /// removed from the members without receiving the entry that removed it.
    pub fn may_have_been_removed(&self, now: Duration) -> bool {
        let last_contact = self.last_leader_contact.unwrap_or(self.started_at);
        let is_silent = now.saturating_sub(last_contact) > RESTART_TIMEOUT;
        self.confirmed && !self.is_leader() && is_silent
    }

    /// Returns the outputs gathered since the last call, and clears them.
    pub fn take_outputs(&mut self) -> Vec<RaftOutput> {
        std::mem::take(&mut self.out)
    }

    /// Returns the number of the last record or rewrite given out, as [`Raft::synced`] takes it.
    pub fn persist_sequence(&self) -> u64 {
        self.persist_sequence
    }

    /// Continues the record numbers of the replica that ran in this process before this one, counts
    /// its records as synced, and keeps what it knew of the connected instances.
    pub(crate) fn continue_process(&mut self, last: &Self) {
        self.persist_sequence += last.persist_sequence;
        self.synced_sequence = last.persist_sequence;
        self.message_sets = last.message_sets.clone();
    }

    /// Appends a command to the log and returns its term and index, or `None` if this replica does
    /// not lead.
    pub fn propose(&mut self, command: Command, now: Duration) -> Option<(u64, u64)> {
        if !self.is_leader() {
            return None;
        }
        let entry = LogEntry {
            term: self.term,
            index: self.log.last_index() + 1,
            command,
        };
        let position = (entry.term, entry.index);
        self.append_entry(entry);
        self.replicate(now);
        Some(position)
    }

    /// Sends heartbeats and start checks that are due, and starts an election on a timeout.
    pub fn tick(&mut self, now: Duration) {
        self.tick_boot(now);
        self.tick_hand_over(now);
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_at {
            self.on_election_timeout(now);
        }
    }

    /// Marks all records up to number `sequence` as synced: sends the messages that waited for
    /// them, and commits entries where this replica leads.
    pub fn synced(&mut self, sequence: u64) {
        self.synced_sequence = self.synced_sequence.max(sequence);
        while let Some((at, index)) = self.unsynced_entries.front().copied() {
            if at > self.synced_sequence {
                break;
            }
            self.synced_index = self.synced_index.max(index);
            self.unsynced_entries.pop_front();
        }
        while self
            .awaiting_sync
            .front()
            .is_some_and(|(at, ..)| *at <= self.synced_sequence)
        {
            if let Some((_, to, message)) = self.awaiting_sync.pop_front() {
                self.out.push(RaftOutput::Send { to, message });
            }
        }
        self.advance_commit();
    }

    /// Handles a message from the replica `from`.
    pub fn receive(&mut self, from: u64, message: RaftMessage, now: Duration) {
        match message {
            RaftMessage::Boot {
                boot,
                nonce,
                last_index,
            } => {
                self.on_boot(from, boot, nonce, last_index, now);
            }
            RaftMessage::NotMember => self.on_not_member(),
            RaftMessage::BootReply {
                boot,
                known_boot,
                known_index,
                member,
            } => {
                self.on_boot_reply(from, boot, known_boot, known_index, member);
            }
            RaftMessage::Join { member } => {
                let empty = self.members.is_empty();
                self.send(from, RaftMessage::JoinReply { empty });
                self.on_join(from, member, now);
            }
            // The caller of this replica decides whether to found a deployment.
            RaftMessage::JoinReply { .. } => {}
            RaftMessage::Append { .. } if !self.confirmed => self.on_append_unconfirmed(now),
            // A replica neither votes nor follows until its peers confirmed its disk: a disk that
            // was rolled back may lack votes and entries that it acknowledged.
            _ if !self.confirmed => {}
            RaftMessage::Vote {
                term,
                pre,
                last_index,
                last_term,
                transfer,
            } => {
                self.on_vote(from, term, pre, (last_term, last_index), transfer, now);
            }
            RaftMessage::VoteReply { term, pre, granted } => {
                self.on_vote_reply(from, term, pre, granted, now);
            }
            RaftMessage::Append {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                if self.accept_leader(from, term, now) {
                    self.leader_commit = self.leader_commit.max(commit);
                    self.on_append(from, (prev_index, prev_term), entries, commit, round);
                } else {
                    self.reject_append(from, round);
                }
            }
            RaftMessage::AppendReply {
                term,
                matched,
                index,
                round,
            } => {
                self.on_append_reply(from, term, matched, index, round, now);
            }
            RaftMessage::Snapshot {
                term,
                index,
                last_term,
                offset,
                total,
                data,
                round,
            } => {
                if self.accept_leader(from, term, now) {
                    self.on_snapshot(from, (index, last_term), (offset, total), data, round);
                } else {
                    self.reject_append(from, round);
                }
            }
            RaftMessage::TimeoutNow { term } => {
                if term == self.term && self.is_voter(self.id) {
                    self.start_election(true, now);
                }
            }
            RaftMessage::Stopping => self.on_stopping(from, now),
            RaftMessage::MayStop => self.on_may_stop(from),
        }
    }

    fn send(&mut self, to: u64, message: RaftMessage) {
        self.out.push(RaftOutput::Send { to, message });
    }

    /// Sends a message once all records given out so far are synced.
    fn send_synced(&mut self, to: u64, message: RaftMessage) {
        if self.persist_sequence <= self.synced_sequence {
            self.send(to, message);
        } else {
            self.awaiting_sync
                .push_back((self.persist_sequence, to, message));
        }
    }

    fn persist(&mut self, record: Record) {
        self.persist_sequence += 1;
        self.out.push(RaftOutput::Persist(record));
    }

    fn persist_hard_state(&mut self) {
        self.persist(Record::HardState {
            term: self.term,
            voted_for: self.voted_for,
        });
        self.hard_state_sequence = self.persist_sequence;
    }

    /// Appends an entry; drops the entries at its index and after.
    fn append_entry(&mut self, entry: LogEntry) {
        let index = entry.index;
        let drops_entries = index <= self.log.last_index();
        if drops_entries {
            self.log.truncate_from(index);
            self.synced_index = self.synced_index.min(index - 1);
            self.unsynced_entries.retain(|(_, i)| *i < index);
        }
        let changes_members = matches!(entry.command, Command::Members { .. });
        self.persist(Record::Entry(entry.clone()));
        self.unsynced_entries
            .push_back((self.persist_sequence, index));
        self.log.append(entry);
        if changes_members || drops_entries {
            self.recompute_members();
        }
    }

    /// Sets the election timeout to a random time between `min_timeout` and twice that, so that
    /// replicas rarely start elections at the same time.
    fn schedule_election_after(&mut self, min_timeout: Duration, now: Duration) {
        let max_jitter_ms = min_timeout.as_millis() as u64;
        let jitter = Duration::from_millis(self.rng.random_range(0..=max_jitter_ms));
        self.election_at = now + min_timeout + jitter;
    }

    fn become_follower(&mut self, term: u64, leader: Option<u64>, now: Duration) {
        if term > self.term {
            self.term = term;
            self.voted_for = 0;
            self.persist_hard_state();
        }
        self.role = RaftRole::Follower;
        self.leader = leader;
        self.stopping_members.clear();
        self.schedule_election(now);
    }
}
