//! Sends commands to control and retries each of them until a result arrives.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::Message;

/// How long to wait for the result from one control instance before the command is sent to the
/// next.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);
/// The delay before a command is sent again after a refusal that permits a retry.
const RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Pending<T> {
    context: T,
    command: Command,
    /// How often the command was sent; selects the control instance to send it to.
    tries: usize,
    /// The time at which the command is sent next.
    due: Duration,
}

/// Sends idempotent commands to control, and sends each to the next control instance until a result
/// arrives. `T` is the caller's context of a command, returned together with the result.
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
    /// Queues a command, which the next [`ControlClient::tick`] sends.
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

    /// Returns whether no command waits for its result.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Sends each command that is due to one of `controls`.
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

    /// Handles a result. Returns it with the context of its command, or `None` if the command will
    /// be sent again or is no longer pending.
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
