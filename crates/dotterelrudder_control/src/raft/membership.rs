//! Membership of the replicated log: quorums, joins of learners, their promotion to voters, and the
//! replacement of lost disks and of voters that are out of contact or about to stop. See
//! docs/design/replicated-log.md.

use std::collections::BTreeSet;
use std::time::Duration;

use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Member;
use dotterelrudder_wire::RaftMessage;
use dotterelrudder_wire::REPLACEMENT_MESSAGE_SET;

use super::HeartbeatRound;
use super::Progress;
use super::Raft;
use super::RaftRole;

/// How long a member may be out of contact and still be expected back soon. Longer than a restart.
pub(super) const RESTART_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the leader must be without contact to a learner before it removes the learner.
const LOST_LEARNER_TIMEOUT: Duration = Duration::from_secs(30);

impl Raft {
    pub(super) fn is_voter(&self, id: u64) -> bool {
        self.members.iter().any(|m| m.id == id && m.voter)
    }

    pub(super) fn learner_ids(&self) -> impl Iterator<Item = u64> + '_ {
        let learners = self.members.iter().filter(|m| !m.voter);
        learners.map(|m| m.id)
    }

    pub(super) fn other_voters(&self) -> Vec<u64> {
        let mut voters = voter_ids(&self.members);
        voters.retain(|id| *id != self.id);
        voters
    }

    /// Returns the other replicas whose votes may be needed: the voters, and those before a replacement
    /// that is not concluded.
    pub(super) fn voting_peers(&self) -> BTreeSet<u64> {
        let voters = self.other_voters().into_iter();
        let replaced = self.replaced_voters.iter().copied();
        voters.chain(replaced.filter(|id| *id != self.id)).collect()
    }

    /// Returns the highest value that a quorum has reached, given that of each voter: a majority of the
    /// voters and, while a replacement is not concluded, a majority of those before it. `None` if there
    /// are no voters.
    pub(super) fn quorum_value<T, F>(&self, value_of: F) -> Option<T>
    where
        T: Copy + Ord,
        F: Fn(u64) -> T,
    {
        let voters = voter_ids(&self.members);
        let sets = [&voters, &self.replaced_voters];
        let needed = sets.iter().enumerate();
        let needed = needed.filter(|(i, ids)| *i == 0 || !ids.is_empty());
        let reached = needed.map(|(_, ids)| {
            let mut values: Vec<T> = ids.iter().map(|id| value_of(*id)).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(values.len() / 2).copied()
        });
        reached.min().flatten()
    }

    /// Returns whether the replicas in `ids` are a quorum.
    pub(super) fn is_quorum(&self, ids: &BTreeSet<u64>) -> bool {
        self.quorum_value(|id| ids.contains(&id)) == Some(true)
    }

    /// Returns the latest time since which a quorum, this leader included, has been in contact;
    /// zero if this replica does not lead.
    pub(super) fn quorum_contact(&self, now: Duration) -> Duration {
        let RaftRole::Leader { progress, .. } = &self.role else {
            return Duration::ZERO;
        };
        let contact_of = |id| match progress.get(&id) {
            _ if id == self.id => now,
            Some(peer) => peer.last_contact,
            None => Duration::ZERO,
        };
        self.quorum_value(contact_of).unwrap_or(now)
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
        self.replaced_voters = self.voters_before_replacement();
        let next_index = self.log.last_index() + 1;
        let RaftRole::Leader { progress, .. } = &mut self.role else {
            return;
        };
        progress.retain(|id, _| self.members.iter().any(|m| m.id == *id));
        let last_round = self.rounds.back();
        let last_round_at = last_round.map_or(Duration::ZERO, |r| r.sent_at);
        for member in self.members.iter().filter(|m| m.id != self.id) {
            progress
                .entry(member.id)
                .or_insert_with(|| Progress::new(next_index, last_round_at));
        }
    }

    /// Returns the voters before the newest change of members if it replaced one by another, since the
    /// majorities before and after it need not overlap. Its repetition concludes it.
    fn voters_before_replacement(&self) -> Vec<u64> {
        let is_change = |e: &&LogEntry| matches!(e.command, Command::Members { .. });
        let Some(change) = self.log.entries().iter().rev().find(is_change) else {
            return Vec::new();
        };
        let before = voter_ids(&self.members_at(change.index - 1));
        let after = voter_ids(&self.members);
        let has_gone = before.iter().any(|id| !after.contains(id));
        let is_new = after.iter().any(|id| !before.contains(id));
        if has_gone && is_new {
            before
        } else {
            Vec::new()
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

    /// Returns whether a member answered this leader within the lease, and nothing shows its loss.
    pub(super) fn is_reachable(&self, id: u64, now: Duration) -> bool {
        let RaftRole::Leader { progress, .. } = &self.role else {
            return false;
        };
        // A new leader counts every member as in contact until it had time to answer.
        let has_answered = |p: &Progress| !p.is_presumed_lost && p.match_index > 0;
        let is_current = progress.get(&id).is_some_and(has_answered);
        id == self.id || is_current && self.is_in_contact(id, now, self.timing.lease)
    }

    /// Returns whether a member did not answer this leader within the lease, or is presumed lost.
    pub(super) fn is_silent(&self, id: u64, now: Duration) -> bool {
        let RaftRole::Leader { progress, .. } = &self.role else {
            return false;
        };
        let is_presumed_lost = progress.get(&id).is_some_and(|p| p.is_presumed_lost);
        is_presumed_lost || !self.is_in_contact(id, now, self.timing.lease)
    }

    /// Returns whether all other voters are reachable.
    fn are_all_reachable(&self, now: Duration) -> bool {
        let others = self.other_voters();
        others.iter().all(|id| self.is_reachable(*id, now))
    }

    /// Returns whether a quorum of the voters in `members` is in contact now, so that a change to
    /// these members is committed at once, and the loss of a disk does not catch it half-way.
    pub(super) fn is_live_quorum(&self, members: &[Member], now: Duration) -> bool {
        let voters = members.iter().filter(|m| m.voter);
        let live = voters.clone().filter(|m| self.is_reachable(m.id, now));
        2 * live.count() > voters.count()
    }

    /// Records the newest kinds of messages that an instance can decode, as
    /// [`dotterelrudder_wire::MESSAGE_SET`] numbers them.
    pub fn set_message_set(&mut self, instance: InstanceName, message_set: u32) {
        self.message_sets.insert(instance, message_set);
    }

    /// Records that a connection to an instance opened or closed. A voter without one is replaced
    /// before the lease is over: its process has most likely ended.
    pub fn set_connected(&mut self, instance: &InstanceName, is_connected: bool, now: Duration) {
        let RaftRole::Leader {
            progress,
            heartbeat_at,
            ..
        } = &mut self.role
        else {
            return;
        };
        let of_instance = self.members.iter().filter(|m| m.instance == *instance);
        for member in of_instance {
            if let Some(peer) = progress.get_mut(&member.id) {
                peer.is_presumed_lost = !is_connected;
                // Asks the learners at once whether they can take the vote.
                *heartbeat_at = now;
            }
        }
    }

    /// Proposes the next membership change if one is due, other than a replacement of a voter.
    pub(super) fn tick_membership(&mut self, now: Duration) {
        self.change_membership(None, now);
    }

    /// Promotes a learner that has just answered, if it is ready to replace a voter. One that was
    /// heard of earlier may have been lost since: as a voter, it would have a part in the quorum.
    pub(super) fn on_learner_answered(&mut self, id: u64, now: Duration) {
        self.change_membership(Some(id), now);
    }

    /// Proposes the next membership change if one is due, and if the voters in contact can commit it.
    /// A proposed change takes effect at once, so that a leader without a quorum must not propose one.
    /// A leader that is about to stop leaves changes to the next one, if there is one.
    fn change_membership(&mut self, answered: Option<u64>, now: Duration) {
        let is_leaving = self.stopping && self.next_leader(now).is_some();
        if is_leaving || self.membership_change_in_flight() || !self.is_fresh(now) {
            return;
        }
        let members = self.next_members(answered, now);
        if let Some(members) = members.filter(|m| self.is_live_quorum(m, now)) {
            self.propose(Command::Members { members }, now);
        }
    }

    /// Returns the members after the next change, if one is due:
    ///
    /// 1. A replacement that is committed is concluded by its repetition.
    /// 2. An identity that was lost with its disk is removed once the instance's new one is ready.
    /// 3. Below the target number of voters, a learner that is ready becomes a voter.
    /// 4. Above the target, a voter is dismissed.
    /// 5. At the target, a learner that has just answered replaces a voter that is about to stop or
    ///    silent. The log never has fewer voters than the target, which would turn a tolerated loss of
    ///    a disk into the loss of the quorum.
    pub(super) fn next_members(&self, answered: Option<u64>, now: Duration) -> Option<Vec<Member>> {
        if !self.replaced_voters.is_empty() {
            return Some(self.members.clone());
        }
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
            Some(target) if voters == target => {
                let mut ready = ready.iter();
                let learner = ready.find(|l| answered == Some(l.id));
                learner.and_then(|l| self.stand_in(l, now))
            }
            _ => ready.first().map(|l| self.with_vote(l.id, true)),
        };
        change.or_else(|| self.without_lost_learner(now))
    }

    /// Returns whether a member has synced what was committed an election timeout ago. It may lack later
    /// entries: a disk that is slower than those of a quorum is always behind while entries are logged.
    pub(super) fn is_caught_up(&self, id: u64, now: Duration) -> bool {
        let RaftRole::Leader { progress, .. } = &self.role else {
            return false;
        };
        let is_earlier = |r: &&HeartbeatRound| r.sent_at + self.timing.election <= now;
        let earlier = self.rounds.iter().rev().find(is_earlier);
        let commit = earlier.map_or(self.commit, |r| r.commit);
        progress.get(&id).is_some_and(|p| p.match_index >= commit)
    }

    /// Returns the learners that have caught up, are in contact and stay.
    fn ready_learners(&self, now: Duration) -> Vec<&Member> {
        let is_ready = |m: &&Member| {
            !m.voter
                && self.is_caught_up(m.id, now)
                && self.is_reachable(m.id, now)
                && !self.is_stopping(m.id, now)
        };
        self.members.iter().filter(is_ready).collect()
    }

    /// Returns the members with the vote of a learner in place of that of a voter that is about to stop
    /// or silent. A member that was replaced and is back gets its vote back: it precedes the learner
    /// that votes in its place.
    fn stand_in(&self, learner: &Member, now: Duration) -> Option<Vec<Member>> {
        let others = self.other_voters();
        let position = |id: u64| self.members.iter().position(|m| m.id == id);
        let stopping = others.iter().find(|id| self.is_stopping(**id, now));
        let silent = || others.iter().find(|id| self.is_silent(**id, now));
        let junior = || {
            let last = others.last();
            last.filter(|id| position(**id) > position(learner.id) && self.are_all_reachable(now))
        };
        let replaced = *stopping.or_else(silent).or_else(junior)?;
        let promoted = self.with_vote(learner.id, true);
        let mut members = promoted.clone();
        set_vote(&mut members, replaced, false);
        Some(if self.know_replacements(&members) {
            members
        } else {
            promoted
        })
    }

    /// Returns whether all other voters in `members` need a majority of the earlier voters, too, while a
    /// replacement is not concluded. With one of the last release, a learner is promoted first, and the
    /// other voter dismissed by another change.
    fn know_replacements(&self, members: &[Member]) -> bool {
        let set_of = |m: &Member| self.message_sets.get(&m.instance).copied().unwrap_or(0);
        let mut others = members.iter().filter(|m| m.voter && m.id != self.id);
        others.all(|m| set_of(m) >= REPLACEMENT_MESSAGE_SET)
    }

    /// Returns the members without the vote of one voter too many: one that is about to stop, or
    /// silent, or else the last one while all are reachable. It stays a member, and gets its vote back
    /// when it returns.
    fn dismissed_voter(&self, now: Duration) -> Option<Vec<Member>> {
        let others = self.other_voters();
        let stopping = others.iter().find(|id| self.is_stopping(**id, now));
        let silent = || others.iter().find(|id| self.is_silent(**id, now));
        let last = || others.last().filter(|_| self.are_all_reachable(now));
        let dismissed = stopping.or_else(silent).or_else(last)?;
        Some(self.with_vote(*dismissed, false))
    }

    /// Returns the members without a learner that has been away for [`LOST_LEARNER_TIMEOUT`].
    fn without_lost_learner(&self, now: Duration) -> Option<Vec<Member>> {
        let mut learners = self.members.iter().filter(|m| !m.voter);
        let lost = learners.find(|m| !self.is_in_contact(m.id, now, LOST_LEARNER_TIMEOUT))?;
        Some(self.without(lost.id))
    }

    fn without(&self, id: u64) -> Vec<Member> {
        let others = self.members.iter().filter(|m| m.id != id);
        others.cloned().collect()
    }

    fn with_vote(&self, id: u64, voter: bool) -> Vec<Member> {
        let mut members = self.members.clone();
        set_vote(&mut members, id, voter);
        members
    }
}

fn set_vote(members: &mut [Member], id: u64, voter: bool) {
    for member in members.iter_mut().filter(|m| m.id == id) {
        member.voter = voter;
    }
}

fn voter_ids(members: &[Member]) -> Vec<u64> {
    let voters = members.iter().filter(|m| m.voter);
    voters.map(|m| m.id).collect()
}
