//! Planned stops: a replica that is about to stop transfers its leadership, and asks the leader to
//! hand its vote to a learner, so that the next loss finds as many voters as before.

use std::time::Duration;

use dotterelrudder_wire::RaftMessage;

use super::membership::RESTART_TIMEOUT;
use super::Raft;

impl Raft {
    /// Begins a planned stop.
    pub fn begin_stop(&mut self, now: Duration) {
        self.stopping = true;
        self.tick_hand_over(now);
    }

    /// Returns whether this replica handed over its leadership and its vote before its planned stop,
    /// or has nobody to hand them to.
    pub fn may_stop(&self) -> bool {
        if !self.stopping {
            return false;
        }
        if self.is_leader() {
            return self.other_voters().is_empty();
        }
        self.may_stop || !self.has_successors()
    }

    /// Returns whether the log names a replica that could take a vote, or may do so once the newest
    /// change of members is committed.
    fn has_successors(&self) -> bool {
        let voters = self.voter_count();
        let is_settled = self.members_at(self.commit) == self.members;
        let target = self.target_voters.unwrap_or(voters);
        !is_settled || voters > target || voters < self.members.len()
    }

    /// Asks for the replacement of this replica if it is about to stop: a leader by another leader,
    /// and a follower by another voter.
    pub(super) fn tick_hand_over(&mut self, now: Duration) {
        let sent_at = self.hand_over_sent_at;
        if !self.stopping || sent_at.is_some_and(|at| now < at + self.timing.heartbeat) {
            return;
        }
        self.announce_stop(now);
    }

    /// Tells the leader, or the next one, if this replica is about to stop.
    pub(super) fn announce_stop(&mut self, now: Duration) {
        if !self.stopping {
            return;
        }
        self.hand_over_sent_at = Some(now);
        if self.is_leader() {
            self.transfer_leadership(now);
        } else if let Some(leader) = self.leader {
            self.send(leader, RaftMessage::Stopping);
        }
    }

    /// Records that a member is about to stop, and hands its vote over as soon as that is possible.
    pub(super) fn on_stopping(&mut self, from: u64, now: Duration) {
        if !self.is_leader() || !self.is_fresh(now) {
            return;
        }
        self.stopping_members.insert(from, now);
        self.tick_membership(now);
        let waits_for_successor = self.is_voter(from) && self.can_replace_voter(now);
        let is_settled = self.replaced_voters.is_empty() && !self.membership_change_in_flight();
        if !waits_for_successor && is_settled {
            self.send(from, RaftMessage::MayStop);
        }
    }

    /// Records the leader's reply; one from an earlier leader counts for nothing.
    pub(super) fn on_may_stop(&mut self, from: u64) {
        self.may_stop |= self.leader == Some(from);
    }

    /// Returns whether a member announced a planned stop to this leader, and did not start again.
    pub(super) fn is_stopping(&self, id: u64, now: Duration) -> bool {
        let announced = self.stopping_members.get(&id);
        announced.is_some_and(|at| now <= *at + RESTART_TIMEOUT)
    }

    /// Returns whether a voter can be dismissed now or once a learner has caught up.
    fn can_replace_voter(&self, now: Duration) -> bool {
        let Some(target) = self.target_voters else {
            return false;
        };
        let mut learners = self.members.iter().filter(|m| !m.voter);
        self.voter_count() > target
            || learners.any(|m| {
                !self.is_stopping(m.id, now) && self.is_in_contact(m.id, now, RESTART_TIMEOUT)
            })
    }
}
