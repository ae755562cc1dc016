//! The check at a start that the disk of the replica was not rolled back to an older state; see
//! docs/design/disk-identity.md.
//!
//! A started replica sends the number of its start (boot) and the last index of its log to the
//! other voters. A peer that knows the same or a later start, or a higher synced index, shows that
//! the disk lost data.

use std::time::Duration;

use dotterelrudder_wire::RaftMessage;

use super::Raft;
use super::RaftOutput;
use super::RaftRole;
use crate::Record;

/// The interval at which the start check is sent again until a quorum confirmed it.
const BOOT_RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// How long the voters that the log names have to answer the start check before all peers are asked.
const NAMED_VOTERS_TIMEOUT: Duration = Duration::from_secs(1);

/// Since when a replica whose disk is not confirmed has been hearing from a leader, and when it last
/// did.
#[derive(Debug, Clone, Copy)]
pub(super) struct LeaderContact {
    first: Duration,
    last: Duration,
}

impl Raft {
    /// Confirms the disk without a check if there is no other voter that could confirm it.
    pub(super) fn confirm_if_sole_voter(&mut self) {
        if self.members.is_empty() || !self.voting_peers().is_empty() {
            return;
        }
        self.confirmed = true;
    }

    /// Confirms the disk without a check if the log names no members: a replica that is not yet a
    /// member never acknowledged an entry.
    pub fn confirm_as_new(&mut self) {
        if self.members.is_empty() {
            self.confirmed = true;
        }
    }

    /// Sends the start check to the other voters if it is due.
    pub(super) fn tick_boot(&mut self, now: Duration) {
        if self.start_synced_at.is_none() && self.persist_sequence <= self.synced_sequence {
            self.start_synced_at = Some(now);
        }
        if self.confirmed
            || self
                .boot_sent_at
                .is_some_and(|at| now < at + BOOT_RESEND_INTERVAL)
        {
            return;
        }
        self.boot_sent_at = Some(now);
        for to in self.voting_peers() {
            self.send_synced(to, self.start_check());
        }
    }

    fn start_check(&self) -> RaftMessage {
        RaftMessage::Boot {
            boot: self.boot,
            nonce: self.boot_nonce,
            last_index: self.log.last_index(),
        }
    }

    /// Returns the start check for peers that the log may not name, if the voters that it names did
    /// not confirm the disk in time: they may all have been replaced while this replica was away.
    pub fn overdue_start_check(&self, now: Duration) -> Option<RaftMessage> {
        let is_start_synced = self.persist_sequence <= self.synced_sequence;
        let is_overdue = self.is_start_check_overdue(self.started_at, now);
        (!self.confirmed && is_start_synced && is_overdue).then(|| self.start_check())
    }

    /// Returns whether the voters that the log names had the time to answer the start check, counted from
    /// `since` or from its own sync. They reply after a sync, and another one may run before it: the time
    /// grows with the syncs of this replica's own disk.
    fn is_start_check_overdue(&self, since: Duration, now: Duration) -> bool {
        let Some(synced_at) = self.start_synced_at else {
            return false;
        };
        let syncs = 2 * (synced_at - self.started_at);
        now > since.max(synced_at) + NAMED_VOTERS_TIMEOUT + syncs
    }

    /// Abandons the identity if the disk is not confirmed: a leader's committed members exclude this
    /// replica, so that no quorum needs what the disk holds. A confirmed replica keeps its disk and
    /// asks to join again.
    pub(super) fn on_not_member(&mut self) {
        if !self.confirmed && !self.members.is_empty() {
            self.out.push(RaftOutput::IdentityLost);
        }
    }

    /// Abandons the identity if the voters that the log names don't confirm the disk although a
    /// leader keeps sending: they were replaced while this replica was away. With the same voters, a
    /// leader's quorum would have confirmed it.
    pub(super) fn on_append_unconfirmed(&mut self, now: Duration) {
        let gap = self.timing.election;
        let heard = self.heard_unconfirmed.filter(|h| now < h.last + gap);
        let first = heard.map_or(now, |h| h.first);
        self.heard_unconfirmed = Some(LeaderContact { first, last: now });
        if !self.members.is_empty() && self.is_start_check_overdue(first, now) {
            self.out.push(RaftOutput::IdentityLost);
        }
    }

    /// Answers the start check of a peer, and records its start unless the check shows a rollback.
    /// A repeated check with the same nonce is not taken for a rollback.
    pub(super) fn on_boot(
        &mut self,
        from: u64,
        boot: u64,
        nonce: u64,
        last_index: u64,
        now: Duration,
    ) {
        self.stopping_members.remove(&from);
        let known = self.peer_boots.get(&from).copied().unwrap_or((0, 0));
        let is_repeated = known == (boot, nonce);
        let known_boot = if is_repeated { boot - 1 } else { known.0 };
        let known_index = match &self.role {
            RaftRole::Leader { progress, .. } => progress.get(&from).map_or(0, |p| p.match_index),
            _ => 0,
        };
        if !is_repeated && boot > known_boot && last_index >= known_index {
            self.peer_boots.insert(from, (boot, nonce));
            self.persist(Record::PeerBoot {
                id: from,
                boot,
                nonce,
            });
        }
        let member = self.members.iter().any(|m| m.id == from);
        self.send_synced(
            from,
            RaftMessage::BootReply {
                boot,
                known_boot,
                known_index,
                member,
            },
        );
        if !member && self.holds_leader_lease(now) && !self.membership_change_in_flight() {
            self.send(from, RaftMessage::NotMember);
        }
    }

    pub(super) fn on_boot_reply(
        &mut self,
        from: u64,
        boot: u64,
        known_boot: u64,
        known_index: u64,
        member: bool,
    ) {
        if self.confirmed || boot != self.boot || !self.voting_peers().contains(&from) {
            return;
        }
        let rolled_back = known_boot >= boot || known_index > self.log.last_index();
        if rolled_back {
            self.out.push(RaftOutput::IdentityLost);
            return;
        }
        let replies = if member {
            &mut self.boot_confirmations
        } else {
            &mut self.boot_rejections
        };
        replies.insert(from);
        let others = self.voting_peers().len();
        if self.boot_rejections.len() > others / 2 {
            self.out.push(RaftOutput::IdentityLost);
            return;
        }
        let mut voters = self.boot_confirmations.clone();
        voters.insert(self.id);
        // `is_quorum` counts voters only, so that a learner's own identity adds nothing.
        self.confirmed = self.is_quorum(&voters);
    }
}
