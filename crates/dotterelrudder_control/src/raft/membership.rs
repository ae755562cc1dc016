//! Membership of the replicated log: quorums, joins of learners, their promotion to voters, and the
//! replacement of lost voters and of lost disks.

use std::collections::BTreeSet;
use std::time::Duration;

use dotterelrudder_wire::Command;
use dotterelrudder_wire::Member;
use dotterelrudder_wire::RaftMessage;

use super::Progress;
use super::Raft;
use super::RaftRole;

/// How long the leader must be without contact to a voter before it removes the voter in favour of
/// a learner. Longer than a restart, so that a restarting voter keeps its vote.
pub(super) const LOST_VOTER_TIMEOUT: Duration = Duration::from_secs(3);

impl Raft {
    pub(super) fn is_voter(&self, id: u64) -> bool {
        self.members.iter().any(|m| m.id == id && m.voter)
    }

    pub(super) fn other_voters(&self) -> Vec<u64> {
        let voters = self.members.iter().filter(|m| m.voter && m.id != self.id);
        voters.map(|m| m.id).collect()
    }

    /// Returns whether the voters in `ids` are a majority of all voters.
    pub(super) fn is_quorum(&self, ids: &BTreeSet<u64>) -> bool {
        let voters = self.members.iter().filter(|m| m.voter).count();
        let counted = ids.iter().filter(|id| self.is_voter(**id)).count();
        voters > 0 && counted > voters / 2
    }

    /// Returns the latest time since which a quorum, this leader included, has been in contact;
    /// zero if this replica does not lead.
    pub(super) fn quorum_contact(&self, now: Duration) -> Duration {
        let RaftRole::Leader { progress, .. } = &self.role else {
            return Duration::ZERO;
        };
        let voters = self.members.iter().filter(|m| m.voter);
        let mut contacts: Vec<Duration> = voters
            .map(|m| {
                if m.id == self.id {
                    now
                } else {
                    progress
                        .get(&m.id)
                        .map_or(Duration::ZERO, |p| p.last_contact)
                }
            })
            .collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts.get(contacts.len() / 2).copied().unwrap_or(now)
    }

    /// Returns the members by the last membership entry up to `index`.
    pub(super) fn members_at(&self, index: u64) -> Vec<Member> {
        let entries = self.log.entries().iter().rev().filter(|e| e.index <= index);
        let newest = entries.filter_map(|e| match &e.command {
            Command::Members { members } => Some(members.clone()),
            _ => None,
        });
        newest
            .into_iter()
            .next()
            .unwrap_or_else(|| self.snapshot_members.clone())
    }

    /// Updates the members from the log. A membership entry takes effect when it is appended,
    /// committed or not.
    pub(super) fn recompute_members(&mut self) {
        self.members = self.members_at(self.log.last_index());
        let next_index = self.log.last_index() + 1;
        let RaftRole::Leader { progress, .. } = &mut self.role else {
            return;
        };
        progress.retain(|id, _| self.members.iter().any(|m| m.id == *id));
        let last_round_at = self
            .round_times
            .back()
            .map_or(Duration::ZERO, |(_, at)| *at);
        for member in self.members.iter().filter(|m| m.id != self.id) {
            progress
                .entry(member.id)
                .or_insert_with(|| Progress::new(next_index, last_round_at));
        }
    }

    /// Returns whether a new membership change has to wait: until an entry of the leader's own term
    /// and the last membership entry are committed.
    pub(super) fn membership_change_in_flight(&self) -> bool {
        let uncommitted = self.log.entries().iter().filter(|e| e.index > self.commit);
        let own_term_committed = self.log.term_at(self.commit) == Some(self.term);
        !own_term_committed
            || uncommitted
                .into_iter()
                .any(|e| matches!(e.command, Command::Members { .. }))
    }

    /// Adds a replica that requests to join as a learner. A replica that does not lead forwards the
    /// request to its leader, since the joining replica may not know the leader's address. It
    /// forwards only requests that come from the joining replica itself, so that a request is
    /// forwarded at most once.
    pub(super) fn on_join(&mut self, from: u64, member: Member, now: Duration) {
        let known = self.members.iter().any(|m| m.id == member.id);
        if known {
            return;
        }
        if !self.is_leader() {
            if let Some(leader) = self.leader.filter(|_| from == member.id) {
                self.send(leader, RaftMessage::Join { member });
            }
            return;
        }
        if self.membership_change_in_flight() {
            return;
        }
        let mut members = self.members.clone();
        members.push(Member {
            voter: false,
            ..member
        });
        self.propose(Command::Members { members }, now);
    }

    /// Removes a voter without contact for [`LOST_VOTER_TIMEOUT`], so that a learner can be promoted
    /// in its place.
    fn remove_lost_voter(&mut self, now: Duration) {
        let RaftRole::Leader { progress, .. } = &self.role else {
            return;
        };
        let is_lost = |m: &&Member| {
            let contact = progress.get(&m.id).map(|p| p.last_contact);
            m.voter && m.id != self.id && contact.is_some_and(|at| now > at + LOST_VOTER_TIMEOUT)
        };
        let Some(lost) = self.members.iter().find(is_lost).map(|m| m.id) else {
            return;
        };
        let mut members = self.members.clone();
        members.retain(|m| m.id != lost);
        self.propose(Command::Members { members }, now);
    }

    /// Proposes the next membership change, if any, for a learner that has synced all committed
    /// entries and is in contact. If the learner's instance has another member, which is the identity
    /// that it lost with its disk, that member is removed first; the learner becomes a voter
    /// afterwards. If enough replicas vote already, the learner has to wait for a lost voter.
    pub(super) fn tick_membership(&mut self, now: Duration) {
        if self.membership_change_in_flight() {
            return;
        }
        let RaftRole::Leader { progress, .. } = &self.role else {
            return;
        };
        let caught_up = self.members.iter().find(|m| {
            let is_current = |p: &Progress| {
                p.match_index >= self.commit && now <= p.last_contact + LOST_VOTER_TIMEOUT
            };
            !m.voter && progress.get(&m.id).is_some_and(is_current)
        });
        let Some(learner) = caught_up.cloned() else {
            return;
        };
        let replaces_voter = self
            .members
            .iter()
            .any(|m| m.instance == learner.instance && m.voter);
        if !replaces_voter && self.target_voters.is_some_and(|t| self.voter_count() >= t) {
            self.remove_lost_voter(now);
            return;
        }
        let same_instance = |m: &Member| m.instance == learner.instance && m.id != learner.id;
        let mut members = self.members.clone();
        if members.iter().any(same_instance) {
            members.retain(|m| !same_instance(m));
        } else {
            for member in members.iter_mut().filter(|m| m.id == learner.id) {
                member.voter = true;
            }
        }
        self.propose(Command::Members { members }, now);
    }
}
