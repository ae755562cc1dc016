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
        self.stamp(&mut command);
        if self.raft.is_leader() {
            if let Some(place) = self.raft.propose(command, now) {
                self.proposals.log(place, origin, now);
            }
            return;
        }
        let from_control = matches!(&origin, Origin::Peer { name, .. }
            if self.settings.peers.contains(name));
        match self.leader_instance() {
            Some(leader) if !from_control && origin != Origin::Internal => {
                let tag = self.proposals.forward(&leader, origin, now);
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
    fn stamp(&self, command: &mut Command) {
        match command {
            Command::Publish { at_ms, .. }
            | Command::Claim { at_ms, .. }
            | Command::FinishClaim { at_ms, .. }
            | Command::IssueOrder { at_ms, .. }
            | Command::PublishWhole { at_ms, .. }
            | Command::NameWeights { at_ms, .. }
            | Command::Drain { at_ms, .. } => *at_ms = self.wall_ms,
            _ => {}
        }
    }

    pub(super) fn answer(&mut self, origin: Origin, result: CommandResult, out: &mut Vec<Output>) {
        match origin {
            Origin::Subscriber(name) => match result {
                CommandResult::Passed(index) => {
                    self.starting.push((name, index));
                    self.answer_starting(out);
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
