//! Proposals of a process to control, repeated until they are answered.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::Message;

/// How long one replica is waited for before another one is asked.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);
/// How long after a refusal the next try starts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Pending<T> {
    context: T,
    command: Command,
    tries: usize,
    due: Duration,
}

/// Sends idempotent commands to control and repeats each at the next replica until a result
/// comes. `T` tells the owner what a result is for.
#[derive(Debug)]
pub struct ControlClient<T> {
    pending: BTreeMap<u64, Pending<T>>,
    next_tag: u64,
}

impl<T> Default for ControlClient<T> {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
            next_tag: 0,
        }
    }
}

impl<T> ControlClient<T> {
    /// Proposes a command; it is sent with the next [`ControlClient::tick`].
    pub fn propose(&mut self, context: T, command: Command) {
        self.next_tag += 1;
        let pending = Pending {
            context,
            command,
            tries: 0,
            due: Duration::ZERO,
        };
        self.pending.insert(self.next_tag, pending);
    }

    /// Returns whether any proposal waits for its result.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Sends what is due to one of `controls`.
    pub fn tick(
        &mut self,
        now: Duration,
        controls: &[InstanceName],
        out: &mut Vec<(InstanceName, Message)>,
    ) {
        if controls.is_empty() {
            return;
        }
        for (tag, pending) in self.pending.iter_mut().filter(|(_, p)| p.due <= now) {
            let to = controls[pending.tries % controls.len()].clone();
            pending.tries += 1;
            pending.due = now + REPLY_TIMEOUT;
            let command = Box::new(pending.command.clone());
            out.push((to, Message::Propose { tag: *tag, command }));
        }
    }

    /// Takes a result; `None` when the proposal is repeated or isn't known any more.
    pub fn on_result(
        &mut self,
        tag: u64,
        result: CommandResult,
        now: Duration,
    ) -> Option<(T, CommandResult)> {
        if let CommandResult::Refused(refusal) = &result {
            let retryable = matches!(
                refusal.kind,
                ErrorKind::NotFresh | ErrorKind::OutcomeUnknown
            );
            if retryable {
                if let Some(pending) = self.pending.get_mut(&tag) {
                    pending.due = now + RETRY_DELAY;
                }
                return None;
            }
        }
        self.pending.remove(&tag).map(|p| (p.context, result))
    }
}
