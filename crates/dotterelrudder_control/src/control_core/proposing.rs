//! Proposing commands: the leader logs them, other replicas forward them to the leader, and results
//! go back to the origin.

use std::time::Duration;

use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_wire::encoded_size;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::MAX_ENTRY_BYTES;

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
        let size = encoded_size(&command);
        if size > MAX_ENTRY_BYTES {
            let detail = format!(
                "the change of {size} bytes exceeds the {MAX_ENTRY_BYTES} bytes that can be replicated"
            );
            let refusal = Refusal::new(ErrorKind::TooLarge, detail);
            self.answer(origin, CommandResult::Refused(refusal), out);
            return;
        }
        self.stamp_wall_clock(&mut command);
        if self.raft.is_leader() {
            if let Err(refusal) = self.check_evacuation(&command, now) {
                self.answer(origin, CommandResult::Refused(refusal), out);
                return;
            }
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
                let refusal = Refusal::new(
                    ErrorKind::NotFresh,
                    "this control replica does not lead and cannot forward the command",
                );
                self.answer(origin, CommandResult::Refused(refusal), out);
            }
        }
    }

    /// Sets the command's time to the wall clock of this replica; the leader overwrites the time of
    /// a forwarded command.
    fn stamp_wall_clock(&self, command: &mut Command) {
        match command {
            Command::Publish { at_ms, .. }
            | Command::Claim { at_ms, .. }
            | Command::FinishClaim { at_ms, .. }
            | Command::IssueOrder { at_ms, .. }
            | Command::PublishWhole { at_ms, .. }
            | Command::PublishExtended { at_ms, .. }
            | Command::SetEvacuation { at_ms, .. }
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

/// Returns the refusal for a command that may or may not have been applied.
pub(super) fn unknown_outcome() -> CommandResult {
    let detail = "the leader was lost before it returned a result; retry with the same id";
    CommandResult::Refused(Refusal::new(ErrorKind::OutcomeUnknown, detail))
}
