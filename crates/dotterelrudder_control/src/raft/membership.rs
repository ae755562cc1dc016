//! Membership of the replicated log: quorums, joins of learners, their promotion to voters, and the
//! replacement of lost disks and of voters that are lost or about to stop. See
//! docs/design/replicated-log.md.

use std::collections::BTreeSet;
use std::time::Duration;

use dotterelrudder_wire::Command;
use dotterelrudder_wire::Member;
use dotterelrudder_wire::RaftMessage;

use super::Progress;
use super::Raft;
use super::RaftRole;

/// How long the leader must be without contact to a voter before it replaces the voter by a learner.
/// Longer than a restart, so that a restarting voter keeps its vote.
pub(super) const LOST_VOTER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the leader must be without contact to a learner before it removes the learner.
const LOST_LEARNER_TIMEOUT: Duration = Duration::from_secs(30);

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

    /// Returns whether a member answered a message that this leader sent within the last `limit`.
    pub(super) fn is_in_contact(&self, id: u64, now: Duration, limit: Duration) -> bool {
        let RaftRole::Leader { progress, .. } = &self.role else {
            return false;
        };
        let answered_at = progress.get(&id).map(|p| p.last_contact);
        id == self.id || answered_at.is_some_and(|at| now <= at + limit)
    }

    /// Returns whether a quorum of the voters in `members` is in contact now, so that a change to
    /// these members is committed at once, and the loss of a disk does not catch it half-way.
    fn is_live_quorum(&self, members: &[Member], now: Duration) -> bool {
        let RaftRole::Leader { progress, .. } = &self.role else {
            return false;
        };
        // A new leader counts every member as in contact until it had time to answer.
        let has_answered =
            |id| id == self.id || progress.get(&id).is_some_and(|p| p.match_index > 0);
        let is_live = |m: &&Member| {
            m.voter && has_answered(m.id) && self.is_in_contact(m.id, now, self.timing.lease)
        };
        let voters = members.iter().filter(|m| m.voter).count();
        2 * members.iter().filter(is_live).count() > voters
    }

    /// Proposes the next membership change if one is due, and if the voters in contact can commit it.
    /// A proposed change takes effect at once, so that a leader without a quorum must not propose one.
    /// A leader that is about to stop leaves changes to the next one, if there is one.
    pub(super) fn tick_membership(&mut self, now: Duration) {
        let is_leaving = self.stopping && self.next_leader(now).is_some();
        if is_leaving || self.membership_change_in_flight() || !self.is_fresh(now) {
            return;
        }
        let members = self.next_members(now);
        if let Some(members) = members.filter(|m| self.is_live_quorum(m, now)) {
            self.propose(Command::Members { members }, now);
        }
    }

    /// Returns the members after the next change, if one is due. One member changes at a time:
    ///
    /// 1. An identity that was lost with its disk is removed once the instance's new one is ready.
    /// 2. Below the target number of voters, a learner that is ready becomes a voter.
    /// 3. Above the target, a voter is dismissed.
    /// 4. At the target, a learner becomes a voter in place of one that is about to stop or lost. It
    ///    is promoted before the other one is dismissed: the log never has fewer voters than the
    ///    target, which would turn a tolerated loss of a disk into the loss of the quorum.
    fn next_members(&self, now: Duration) -> Option<Vec<Member>> {
        let ready = self.ready_learners(now);
        let has_new_identity = |m: &&Member| {
            let mut learners = ready.iter();
            learners.any(|l| l.instance == m.instance && l.id != m.id)
        };
        let replaced = self.members.iter().find(has_new_identity);
        if let Some(replaced) = replaced {
            return Some(self.without(replaced.id));
        }
        let voters = self.voter_count();
        let change = match self.target_voters {
            Some(target) if voters > target => self.dismissed_voter(now),
            Some(target) if voters == target => self.stand_in(&ready, now),
            _ => ready.first().map(|l| self.with_vote(l.id, true)),
        };
        change.or_else(|| self.without_lost_learner(now))
    }

    /// Returns the learners that have synced all committed entries, are in contact and stay.
    fn ready_learners(&self, now: Duration) -> Vec<&Member> {
        let RaftRole::Leader { progress, .. } = &self.role else {
            return Vec::new();
        };
        let is_ready = |m: &&Member| {
            let is_current = |p: &Progress| p.match_index >= self.commit;
            !m.voter
                && progress.get(&m.id).is_some_and(is_current)
                && self.is_in_contact(m.id, now, self.timing.lease)
                && !self.is_stopping(m.id, now)
        };
        self.members.iter().filter(is_ready).collect()
    }

    /// Returns the members with the vote of a learner that replaces a voter, if one is about to stop
    /// or lost. A member that was dismissed for its planned stop and is back gets its vote back: it
    /// precedes the learner that voted in its place.
    fn stand_in(&self, ready: &[&Member], now: Duration) -> Option<Vec<Member>> {
        let learner = ready.first()?;
        let mut others = self.members.iter().filter(|m| m.voter && m.id != self.id);
        let is_needed = others
            .clone()
            .any(|m| self.is_stopping(m.id, now) || self.is_lost(m.id, now));
        let all_live = others
            .clone()
            .all(|m| self.is_in_contact(m.id, now, self.timing.lease));
        let position = |id: u64| self.members.iter().position(|m| m.id == id);
        let has_junior = others.any(|m| position(m.id) > position(learner.id));
        (is_needed || all_live && has_junior).then(|| self.with_vote(learner.id, true))
    }

    /// Returns the members without the vote of one voter too many: one that is about to stop, or
    /// lost, or else the last one while all are in contact.
    fn dismissed_voter(&self, now: Duration) -> Option<Vec<Member>> {
        let others = self.members.iter().filter(|m| m.voter && m.id != self.id);
        if let Some(stopping) = others.clone().find(|m| self.is_stopping(m.id, now)) {
            return Some(self.with_vote(stopping.id, false));
        }
        if let Some(lost) = others.clone().find(|m| self.is_lost(m.id, now)) {
            return Some(self.without(lost.id));
        }
        let all_live = others
            .clone()
            .all(|m| self.is_in_contact(m.id, now, self.timing.lease));
        let last = others.clone().next_back().filter(|_| all_live)?;
        Some(self.with_vote(last.id, false))
    }

    /// Returns the members without a learner that has been away for [`LOST_LEARNER_TIMEOUT`].
    fn without_lost_learner(&self, now: Duration) -> Option<Vec<Member>> {
        let mut learners = self.members.iter().filter(|m| !m.voter);
        let lost = learners.find(|m| !self.is_in_contact(m.id, now, LOST_LEARNER_TIMEOUT))?;
        Some(self.without(lost.id))
    }

    fn is_lost(&self, id: u64, now: Duration) -> bool {
        !self.is_in_contact(id, now, LOST_VOTER_TIMEOUT)
    }

    fn without(&self, id: u64) -> Vec<Member> {
        let others = self.members.iter().filter(|m| m.id != id);
        others.cloned().collect()
    }

    fn with_vote(&self, id: u64, voter: bool) -> Vec<Member> {
        let mut members = self.members.clone();
        for member in members.iter_mut().filter(|m| m.id == id) {
            member.voter = voter;
        }
        members
    }
}
