//! Log replication: heartbeats, appended entries, snapshots, and the commit index.

use std::time::Duration;

use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::RaftMessage;

use super::HeartbeatRound;
use super::Raft;
use super::RaftOutput;
use super::RaftRole;
use crate::Record;

/// The most entries in one append message.
const MAX_ENTRIES_PER_APPEND: usize = 64;
/// The most bytes of entries in one append message; a larger entry is sent alone. Followers of the
/// last release read a frame only if its decoded values take up at most 8 MiB, and values take up at
/// most eight times the bytes that they are decoded from.
const MAX_APPEND_BYTES: usize = 768 * 1024;
/// The most bytes of a snapshot in one message.
const SNAPSHOT_CHUNK_BYTES: usize = 1024 * 1024;
/// How long the leader waits for the acknowledgement of a snapshot before it sends it again.
const SNAPSHOT_RESEND_DELAY: Duration = Duration::from_secs(2);
/// The number of heartbeat rounds that are kept, to date the replies.
const MAX_ROUNDS: usize = 128;

impl Raft {
    /// Steps down if there was no contact with a quorum within the election timeout (check-quorum);
    /// otherwise sends heartbeats if they are due.
    pub(super) fn tick_leader(&mut self, now: Duration) {
        if now.saturating_sub(self.quorum_contact(now)) > self.timing.election {
            self.become_follower(self.term, None, now);
            return;
        }
        let RaftRole::Leader {
            round,
            heartbeat_at,
            ..
        } = &mut self.role
        else {
            return;
        };
        if now < *heartbeat_at {
            return;
        }
        *heartbeat_at = now + self.timing.heartbeat;
        *round += 1;
        let round = *round;
        self.rounds.push_back(HeartbeatRound {
            number: round,
            sent_at: now,
            commit: self.commit,
        });
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.send_appends(true, now);
        self.tick_membership(now);
    }

    /// Sends the followers the entries that they lack.
    pub(super) fn replicate(&mut self, now: Duration) {
        self.send_appends(false, now);
        self.advance_commit();
    }

    /// Sends the commit index to the followers at once, instead of with the next heartbeat.
    pub(crate) fn announce_commit(&mut self, now: Duration) {
        self.send_appends(true, now);
    }

    fn send_appends(&mut self, heartbeat: bool, now: Duration) {
        let RaftRole::Leader { progress, .. } = &self.role else {
            return;
        };
        for id in progress.keys().copied().collect::<Vec<_>>() {
            self.send_append(id, heartbeat, now);
        }
    }

    fn send_append(&mut self, to: u64, heartbeat: bool, now: Duration) {
        let (term, commit) = (self.term, self.commit);
        let RaftRole::Leader {
            progress, round, ..
        } = &mut self.role
        else {
            return;
        };
        let round = *round;
        let Some(peer) = progress.get_mut(&to) else {
            return;
        };
        if peer.next_index <= self.log.snapshot_index() {
            self.send_snapshot(to, round, now);
            return;
        }
        let prev_index = peer.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            return;
        };
        let entries =
            self.log
                .entries_from(peer.next_index, MAX_ENTRIES_PER_APPEND, MAX_APPEND_BYTES);
        if entries.is_empty() && !heartbeat {
            return;
        }
        peer.next_index += entries.len() as u64;
        let message = RaftMessage::Append {
            term,
            prev_index,
            prev_term,
            entries,
            commit,
            round,
        };
        self.send(to, message);
    }

    fn send_snapshot(&mut self, to: u64, round: u64, now: Duration) {
        let RaftRole::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let Some(peer) = progress.get_mut(&to) else {
            return;
        };
        if peer
            .snapshot_sent_at
            .is_some_and(|at| now < at + SNAPSHOT_RESEND_DELAY)
        {
            return;
        }
        peer.snapshot_sent_at = Some(now);
        let data = self.log.snapshot_data().to_vec();
        let total = data.len() as u64;
        let (index, last_term) = (self.log.snapshot_index(), self.log.snapshot_term());
        let term = self.term;
        let mut offset = 0;
        for chunk in data.chunks(SNAPSHOT_CHUNK_BYTES) {
            let data = chunk.to_vec();
            let message = RaftMessage::Snapshot {
                term,
                index,
                last_term,
                offset,
                total,
                data,
                round,
            };
            offset += chunk.len() as u64;
            self.send(to, message);
        }
    }

    /// Rejects a message from a leader of an earlier term, which then steps down.
    pub(super) fn reject_append(&mut self, from: u64, round: u64) {
        let reply = RaftMessage::AppendReply {
            term: self.term,
            matched: false,
            index: self.log.last_index(),
            round,
        };
        self.send(from, reply);
    }

    /// Appends entries from the leader. `prev` is the index and the term of the entry before them.
    pub(super) fn on_append(
        &mut self,
        from: u64,
        prev: (u64, u64),
        entries: Vec<LogEntry>,
        commit: u64,
        round: u64,
    ) {
        let (prev_index, prev_term) = prev;
        let covered = prev_index < self.log.snapshot_index();
        if !covered && self.log.term_at(prev_index) != Some(prev_term) {
            let reply = RaftMessage::AppendReply {
                term: self.term,
                matched: false,
                index: self.conflict_hint(prev_index),
                round,
            };
            self.send(from, reply);
            return;
        }
        let last = prev_index + entries.len() as u64;
        let heartbeat = entries.is_empty();
        for entry in entries {
            let known = entry.index <= self.log.snapshot_index()
                || self.log.term_at(entry.index) == Some(entry.term);
            if !known {
                self.append_entry(entry);
            }
        }
        self.commit_to(commit.min(last));
        let term = self.term;
        if heartbeat {
            // The reply does not wait for a sync, so that a replica with a slow disk does not count
            // as lost. It therefore acknowledges only synced entries.
            let index = last.min(self.synced_index);
            self.send(
                from,
                RaftMessage::AppendReply {
                    term,
                    matched: true,
                    index,
                    round,
                },
            );
        } else {
            let reply = RaftMessage::AppendReply {
                term,
                matched: true,
                index: last,
                round,
            };
            self.send_synced(from, reply);
        }
    }

    /// Returns the index from which the leader should retry: the last one before the conflicting
    /// term, so that a whole term is skipped in one round trip.
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let Some(term) = self.log.term_at(prev_index) else {
            return self.log.snapshot_index();
        };
        let mut index = prev_index;
        while index > self.log.snapshot_index() && self.log.term_at(index) == Some(term) {
            index -= 1;
        }
        index
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: u64,
        term: u64,
        matched: bool,
        index: u64,
        round: u64,
        now: Duration,
    ) {
        if term > self.term {
            self.become_follower(term, None, now);
            return;
        }
        let last = self.log.last_index();
        let round = self.rounds.iter().find(|r| r.number == round).copied();
        let RaftRole::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let Some(peer) = progress.get_mut(&from) else {
            return;
        };
        if term != self.term {
            return;
        }
        peer.is_presumed_lost = false;
        if let Some(round) = round {
            peer.last_contact = peer.last_contact.max(round.sent_at);
        }
        if matched {
            peer.match_index = peer.match_index.max(index);
            peer.next_index = peer.next_index.max(index + 1);
            peer.snapshot_sent_at = None;
        } else {
            peer.next_index = (index + 1).clamp(peer.match_index + 1, last + 1);
        }
        let behind = peer.next_index <= last;
        self.advance_commit();
        let has_one_too_many = self.target_voters.is_some_and(|t| self.voter_count() > t);
        if !self.is_voter(from) {
            self.on_learner_answered(from, now);
        } else if has_one_too_many || !self.replaced_voters.is_empty() {
            // The second step of a replacement follows as soon as the first one is committed.
            self.tick_membership(now);
        }
        if behind {
            self.send_append(from, false, now);
        }
    }

    /// Collects the chunks of a snapshot, and installs it once it is complete. `last_entry` is the
    /// index and the term of the last covered entry, `chunk_position` the offset of this chunk and
    /// the size of the whole snapshot in bytes.
    pub(super) fn on_snapshot(
        &mut self,
        from: u64,
        last_entry: (u64, u64),
        chunk_position: (u64, u64),
        data: Vec<u8>,
        round: u64,
    ) {
        let (index, last_term) = last_entry;
        let (offset, total) = chunk_position;
        if offset == 0 {
            self.incoming_snapshot.clear();
        }
        if offset != self.incoming_snapshot.len() as u64 {
            return;
        }
        self.incoming_snapshot.extend_from_slice(&data);
        if (self.incoming_snapshot.len() as u64) < total {
            return;
        }
        let data = std::mem::take(&mut self.incoming_snapshot);
        if index > self.commit {
            self.install_snapshot(index, last_term, data);
        }
        let index = index.max(self.commit).min(self.log.last_index());
        let reply = RaftMessage::AppendReply {
            term: self.term,
            matched: true,
            index,
            round,
        };
        self.send_synced(from, reply);
    }

    fn install_snapshot(&mut self, index: u64, last_term: u64, data: Vec<u8>) {
        self.snapshot_members = crate::state::members_of_snapshot(&data);
        self.log.replace(index, last_term, data.clone());
        self.commit = index;
        self.applied = index;
        self.unsynced_entries.clear();
        self.synced_index = 0;
        self.recompute_members();
        self.persist(Record::Snapshot {
            index,
            term: last_term,
            members: self.snapshot_members.clone(),
            data: data.clone(),
        });
        self.unsynced_entries
            .push_back((self.persist_sequence, index));
        self.out.push(RaftOutput::Restore(data));
    }

    /// Commits the entries that a quorum has synced, if this replica leads.
    pub(super) fn advance_commit(&mut self) {
        let RaftRole::Leader { progress, .. } = &self.role else {
            return;
        };
        let synced_by = |id| match progress.get(&id) {
            _ if id == self.id => self.synced_index,
            Some(peer) => peer.match_index,
            None => 0,
        };
        let Some(index) = self.quorum_value(synced_by) else {
            return;
        };
        // Only entries of the leader's own term are committed by counting replicas (section 5.4.2
        // of the paper).
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit_to(index);
        }
    }

    fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index.min(self.log.last_index()));
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied + 1) else {
                return;
            };
            let entry = entry.clone();
            self.applied += 1;
            self.out.push(RaftOutput::Apply(entry));
        }
    }

    /// Returns whether at least [`RaftTiming::snapshot_entries`](super::RaftTiming::snapshot_entries)
    /// entries were applied since the last snapshot.
    pub fn wants_snapshot(&self) -> bool {
        let applied = self.applied - self.log.snapshot_index();
        applied as usize >= self.timing.snapshot_entries
    }

    /// Replaces the applied entries by a snapshot, and rewrites the journal. `data` is the encoded
    /// state at the last applied index.
    pub fn compact(&mut self, data: Vec<u8>) {
        let index = self.applied;
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        self.snapshot_members = self.members_at(index);
        self.log.compact(index, term, data);
        let mut records = vec![
            Record::Identity {
                id: self.id,
                boot: self.boot,
            },
            Record::HardState {
                term: self.term,
                voted_for: self.voted_for,
            },
            Record::Snapshot {
                index,
                term,
                members: self.snapshot_members.clone(),
                data: self.log.snapshot_data().to_vec(),
            },
        ];
        let boots = self.peer_boots.iter();
        records.extend(boots.map(|(id, (boot, nonce))| Record::PeerBoot {
            id: *id,
            boot: *boot,
            nonce: *nonce,
        }));
        records.extend(self.log.entries().iter().cloned().map(Record::Entry));
        self.persist_sequence += 1;
        self.out.push(RaftOutput::Rewrite(records));
    }
}
