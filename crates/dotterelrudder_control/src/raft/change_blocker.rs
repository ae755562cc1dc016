//! What a change of members, or a planned stop that needs one, waits for; for the log of the operators.

use std::fmt;
use std::time::Duration;

use super::Raft;

/// The first condition that is missing for a change of members that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeBlocker {
    /// The replica knows no leader that it could ask.
    Leader,
    /// The replica leads and has to transfer its leadership before its own vote.
    LeadershipTransfer,
    /// The leader did not decide yet; its log names what it waits for.
    LeaderDecision,
    /// The leader itself is about to stop and leaves changes to the next one.
    NextLeader,
    /// The leader is out of contact with a quorum.
    Quorum,
    /// An entry of the leader's own term, or the last change of members, is not committed.
    Commit,
    /// There is no learner that could take the vote.
    Learner,
    /// No learner answers.
    LearnerContact,
    /// The learners that answer are about to stop.
    LearnerStart,
    /// No learner that answers has caught up with the committed entries.
    LearnerEntries,
    /// The voters after the change that are in contact would be no quorum.
    QuorumAfterChange,
}

impl fmt::Display for ChangeBlocker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Leader => "a leader",
            Self::LeadershipTransfer => "the transfer of the leadership",
            Self::LeaderDecision => "the decision of the leader",
            Self::NextLeader => "the next leader",
            Self::Quorum => "contact with a quorum",
            Self::Commit => "the commit of an earlier entry",
            Self::Learner => "a learner",
            Self::LearnerContact => "contact with a learner",
            Self::LearnerStart => "a learner that does not stop",
            Self::LearnerEntries => "a learner that has caught up",
            Self::QuorumAfterChange => "a quorum in contact after the change",
        })
    }
}

impl Raft {
    /// Returns what a planned stop of this replica waits for; `None` if it may stop or does not stop.
    pub fn stop_blocker(&self, now: Duration) -> Option<ChangeBlocker> {
        if !self.stopping || self.may_stop() {
            return None;
        }
        Some(if self.is_leader() && self.next_leader(now).is_none() {
            ChangeBlocker::Quorum
        } else if self.is_leader() && self.membership_change_in_flight() {
            ChangeBlocker::Commit
        } else if self.is_leader() {
            ChangeBlocker::LeadershipTransfer
        } else if self.leader.is_none() {
            ChangeBlocker::Leader
        } else {
            ChangeBlocker::LeaderDecision
        })
    }

    /// Returns what a change of members that is due waits for. `None` if this replica does not lead,
    /// no change is due, or one follows on the next reply of a learner.
    pub fn change_blocker(&self, now: Duration) -> Option<ChangeBlocker> {
        if !self.is_leader() || !self.is_change_due(now) {
            return None;
        }
        if self.stopping && self.next_leader(now).is_some() {
            Some(ChangeBlocker::NextLeader)
        } else if !self.is_fresh(now) {
            Some(ChangeBlocker::Quorum)
        } else if self.membership_change_in_flight() {
            Some(ChangeBlocker::Commit)
        } else {
            self.learner_blocker(now)
        }
    }

    /// Returns what a change waits for that the leader could propose, if it had a suitable learner.
    fn learner_blocker(&self, now: Duration) -> Option<ChangeBlocker> {
        let has_entries = |id| self.is_caught_up(id, now);
        let is_reachable = |id| self.is_reachable(id, now);
        let stays = |id| !self.is_stopping(id, now);
        let conditions: [(ChangeBlocker, &dyn Fn(u64) -> bool); 4] = [
            (ChangeBlocker::Learner, &|_| true),
            (ChangeBlocker::LearnerContact, &is_reachable),
            (ChangeBlocker::LearnerStart, &stays),
            (ChangeBlocker::LearnerEntries, &has_entries),
        ];
        let has_voters_to_spare = self.target_voters.is_some_and(|t| self.voter_count() > t);
        let needs_learner = self.replaced_voters.is_empty() && !has_voters_to_spare;
        let mut learners: Vec<u64> = self.learner_ids().collect();
        for (missing, is_met) in conditions.iter().filter(|_| needs_learner) {
            learners.retain(|id| is_met(*id));
            if learners.is_empty() {
                return Some(*missing);
            }
        }
        let members = self.next_members(learners.first().copied(), now)?;
        let has_quorum = self.is_live_quorum(&members, now);
        (!has_quorum).then_some(ChangeBlocker::QuorumAfterChange)
    }

    /// Returns whether a voter is to be replaced, dismissed or added.
    fn is_change_due(&self, now: Duration) -> bool {
        let Some(target) = self.target_voters else {
            return false;
        };
        let is_leaving = |id: &u64| self.is_stopping(*id, now) || self.is_silent(*id, now);
        !self.replaced_voters.is_empty()
            || self.voter_count() > target
            || self.voter_count() < target && self.learner_ids().next().is_some()
            || self.other_voters().iter().any(is_leaving)
    }
}
