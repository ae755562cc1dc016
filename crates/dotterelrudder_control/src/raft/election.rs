//! Leader election: pre-vote, votes, and the transfer of leadership before a planned stop.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use dotterelrudder_wire::Command;
use dotterelrudder_wire::RaftMessage;

use super::Progress;
use super::Raft;
use super::RaftRole;

/// How often the election timeout is doubled at most while elections stay undecided.
const MAX_ELECTION_DOUBLINGS: u32 = 2;

impl Raft {
    /// Schedules the next election. A replica that is about to stop lets the others go first. A vote
    /// counts once the disks of the candidate and of the voter have synced it: with a fixed timeout,
    /// disks that take longer would let no candidate win.
    pub(super) fn schedule_election(&mut self, now: Duration) {
        let undecided = self.undecided_elections.saturating_sub(1);
        let doublings = undecided.min(MAX_ELECTION_DOUBLINGS) + u32::from(self.stopping);
        self.schedule_election_after(self.timing.election * (1 << doublings), now);
    }

    /// Starts an election, unless the term and the vote of the current one still wait for their
    /// sync: a new election would only queue another record behind them.
    pub(super) fn on_election_timeout(&mut self, now: Duration) {
        if self.hard_state_sequence > self.synced_sequence {
            self.schedule_election(now);
        } else {
            self.start_pre_vote(now);
        }
    }

    /// Requests pre-votes from the voters, without raising the term.
    fn start_pre_vote(&mut self, now: Duration) {
        self.schedule_election(now);
        if !self.confirmed || !self.is_voter(self.id) {
            return;
        }
        self.leader = None;
        self.role = RaftRole::PreCandidate {
            votes: BTreeSet::from([self.id]),
        };
        self.request_votes(true, false);
        self.count_votes(now);
    }

    /// Starts a term as candidate. `transfer` waives the lease of the leader, which requested the
    /// election.
    pub(super) fn start_election(&mut self, transfer: bool, now: Duration) {
        self.term += 1;
        self.voted_for = self.id;
        self.persist_hard_state();
        self.leader = None;
        self.undecided_elections += 1;
        self.schedule_election(now);
        self.role = RaftRole::Candidate {
            votes: BTreeSet::from([self.id]),
        };
        self.request_votes(false, transfer);
        self.count_votes(now);
    }

    fn request_votes(&mut self, pre: bool, transfer: bool) {
        let term = if pre { self.term + 1 } else { self.term };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.voting_peers() {
            let message = RaftMessage::Vote {
                term,
                pre,
                last_index,
                last_term,
                transfer,
            };
            self.send_synced(to, message);
        }
    }

    /// Answers a request for a vote or pre-vote. `last` is the term and the index of the candidate's
    /// last entry.
    pub(super) fn on_vote(
        &mut self,
        from: u64,
        term: u64,
        pre: bool,
        last: (u64, u64),
        transfer: bool,
        now: Duration,
    ) {
        let leader_alive = self.is_leader() && self.is_fresh(now)
            || self.last_leader_contact.is_some_and(|at| {
                self.leader.is_some() && now.saturating_sub(at) < self.timing.election
            });
        let up_to_date = last >= (self.log.last_term(), self.log.last_index());
        if leader_alive && !transfer {
            let reply = RaftMessage::VoteReply {
                term: self.term,
                pre,
                granted: false,
            };
            self.send(from, reply);
            return;
        }
        if pre {
            let granted = term > self.term && up_to_date;
            let term = if granted { term } else { self.term };
            self.send(from, RaftMessage::VoteReply { term, pre, granted });
            return;
        }
        if term > self.term {
            self.become_follower(term, None, now);
        }
        let vote_available = self.voted_for == 0 || self.voted_for == from;
        let granted = term == self.term && vote_available && up_to_date;
        if granted && self.voted_for == 0 {
            self.voted_for = from;
            self.persist_hard_state();
            self.undecided_elections += 1;
            self.schedule_election(now);
        }
        let reply = RaftMessage::VoteReply {
            term: self.term,
            pre,
            granted,
        };
        self.send_synced(from, reply);
    }

    pub(super) fn on_vote_reply(
        &mut self,
        from: u64,
        term: u64,
        pre: bool,
        granted: bool,
        now: Duration,
    ) {
        if !granted {
            if term > self.term {
                self.become_follower(term, None, now);
            }
            return;
        }
        match &mut self.role {
            RaftRole::PreCandidate { votes } if pre && term == self.term + 1 => {
                votes.insert(from);
            }
            RaftRole::Candidate { votes } if !pre && term == self.term => {
                votes.insert(from);
            }
            _ => return,
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Duration) {
        match &self.role {
            RaftRole::PreCandidate { votes } if self.is_quorum(votes) => {
                self.start_election(false, now);
            }
            RaftRole::Candidate { votes } if self.is_quorum(votes) => self.become_leader(now),
            _ => {}
        }
    }

    fn become_leader(&mut self, now: Duration) {
        let next_index = self.log.last_index() + 1;
        let others = self.members.iter().filter(|m| m.id != self.id);
        let mut progress: BTreeMap<_, _> = others
            .map(|m| (m.id, Progress::new(next_index, now)))
            .collect();
        let lease_end = self.last_leader_contact.map(|at| at + self.timing.lease);
        let last_leader = self.last_leader.and_then(|id| progress.get_mut(&id));
        if let Some(last_leader) = last_leader {
            last_leader.is_presumed_lost = lease_end.is_some_and(|at| at < now);
        }
        self.role = RaftRole::Leader {
            progress,
            round: 0,
            heartbeat_at: now,
        };
        self.leader = Some(self.id);
        self.undecided_elections = 0;
        self.rounds.clear();
        // Earlier entries commit only with an entry of the leader's own term (section 5.4.2 of the
        // paper), so that a new leader appends one at once.
        self.propose(Command::Noop, now);
        self.tick_leader(now);
    }

    /// Becomes or stays a follower of the leader `from`. Returns false, and changes nothing, if the
    /// message comes from an earlier term.
    pub(super) fn accept_leader(&mut self, from: u64, term: u64, now: Duration) -> bool {
        if term < self.term {
            return false;
        }
        let is_new = self.leader != Some(from);
        self.undecided_elections = 0;
        self.become_follower(term, Some(from), now);
        self.last_leader = Some(from);
        self.last_leader_contact = Some(now);
        if is_new {
            // Before the reply to this message, on which the leader may count this replica as ready.
            self.announce_stop(now);
        }
        true
    }

    /// Sends a voter a request to start an election, before a planned stop. A change of members comes
    /// first, since a voter whose log lacks it would not be elected.
    pub(super) fn transfer_leadership(&mut self, now: Duration) {
        let Some(to) = self.next_leader(now) else {
            return;
        };
        if !self.membership_change_in_flight() {
            let term = self.term;
            self.send(to, RaftMessage::TimeoutNow { term });
        }
    }

    /// Returns the voter with the highest match index among those that are in contact and stay.
    pub(super) fn next_leader(&self, now: Duration) -> Option<u64> {
        let RaftRole::Leader { progress, .. } = &self.role else {
            return None;
        };
        let is_suited =
            |id: u64| self.is_voter(id) && !self.is_stopping(id, now) && !self.is_silent(id, now);
        let voters = progress.iter().filter(|(id, _)| is_suited(**id));
        let next = voters.max_by_key(|(_, p)| p.match_index);
        next.map(|(id, _)| *id)
    }
}
