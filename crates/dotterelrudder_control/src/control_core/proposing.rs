//! Commands on their way into the log, and their results.

use std::time::Duration;

use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::Message;

use super::ControlCore;
use crate::Origin;
use crate::Output;

impl ControlCore {
    pub(super) fn propose(
        &mut self,
        origin: Origin,
        mut command: Command,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        self.stamp_wall_clock(&mut command);
        if self.raft.is_leader() {
            if let Some(position) = self.raft.propose(command, now) {
                self.proposals.track_logged(position, origin, now);
            }
            return;
        }
        let from_control = matches!(&origin, Origin::Peer { name, .. }
            if self.settings.peers.contains(name));
        match self.leader_instance() {
            Some(leader) if !from_control && origin != Origin::Internal => {
                let tag = self.proposals.track_forwarded(&leader, origin, now);
                let command = Box::new(command);
                out.push(Output::Send {
                    to: leader,
                    message: Message::Propose { tag, command },
                });
            }
            _ => {
                let refusal = Refusal::new(ErrorKind::NotFresh, "no leader is known here");
                self.answer(origin, CommandResult::Refused(refusal), out);
            }
        }
    }

    /// Puts the wall-clock time of the replica that takes a command into it.
    fn stamp_wall_clock(&self, command: &mut Command) {
        match command {
            Command::Publish { at_ms, .. }
            | Command::Claim { at_ms, .. }
            | Command::FinishClaim { at_ms, .. }
            | Command::IssueOrder { at_ms, .. }
            | Command::PublishWhole { at_ms, .. }
            | Command::NameWeights { at_ms, .. }
            | Command::Drain { at_ms, .. } => *at_ms = self.wall_clock_ms,
            _ => {}
        }
    }

    pub(super) fn answer(&mut self, origin: Origin, result: CommandResult, out: &mut Vec<Output>) {
        match origin {
            Origin::Subscriber(name) => match result {
                CommandResult::Passed(index) => {
                    self.starting_subscribers.push((name, index));
                    self.answer_starting_subscribers(out);
                }
                _ => out.push(Output::Send {
                    to: name,
                    message: Message::NotFresh,
                }),
            },
            Origin::Local(tag) => out.push(Output::Answer { tag, result }),
            Origin::Peer { name, tag } => {
                let message = Message::Result {
                    tag,
                    result: Box::new(result),
                };
                out.push(Output::Send { to: name, message });
            }
            Origin::Internal => {}
        }
    }
}

/// What is told when nobody can say whether a command was applied.
pub(super) fn unknown_outcome() -> CommandResult {
    let detail = "the leader was lost before its answer; ask again with the same id";
    CommandResult::Refused(Refusal::new(ErrorKind::OutcomeUnknown, detail))
}
