//! Configuration subscriptions: which update or confirmation each subscriber gets, and when.

use std::time::Duration;

use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::Message;

use super::ControlCore;
use crate::subscribers::catch_up_message;
use crate::Origin;
use crate::Output;

impl ControlCore {
    pub(super) fn on_subscribe(
        &mut self,
        from: InstanceName,
        held: Revision,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        if !self.is_fresh(now) {
            out.push(Output::Send {
                to: from,
                message: Message::NotFresh,
            });
            return;
        }
        if held == Revision::default() {
            // A process that has just started may have held a newer revision before its restart
            // than this replica has applied. It is answered once an entry proposed now is applied.
            self.propose(Origin::Subscriber(from), Command::Noop, now, out);
            return;
        }
        self.subscribe(from, held, out);
    }

    /// Sends the newest configuration to a process and registers it for further updates.
    pub(super) fn subscribe(&mut self, from: InstanceName, held: Revision, out: &mut Vec<Output>) {
        let message = catch_up_message(&self.state, held);
        let subscriber = self.subscribers.get_or_insert(&from);
        subscriber.subscribed = true;
        subscriber.sent_revision = self.state.configuration().revision;
        out.push(Output::Send { to: from, message });
    }

    /// Answers subscribers that have just started and whose no-op entry is applied by now.
    pub(super) fn answer_starting_subscribers(&mut self, out: &mut Vec<Output>) {
        let index = self.state.index();
        let starting_subscribers = std::mem::take(&mut self.starting_subscribers);
        let (due, later) = starting_subscribers
            .into_iter()
            .partition(|(_, at)| *at <= index);
        self.starting_subscribers = later;
        let due: Vec<(InstanceName, u64)> = due;
        for (name, _) in due {
            self.subscribe(name, Revision::default(), out);
        }
    }

    /// Sends a newer configuration to subscribers that lack it and, with `confirm`, a confirmation
    /// to the others. Without fresh contact with a quorum it sends no configuration and, with
    /// `confirm`, ends the subscriptions.
    pub(super) fn update_subscribers(
        &mut self,
        now: Duration,
        confirm: bool,
        out: &mut Vec<Output>,
    ) {
        let fresh = self.is_fresh(now);
        let newest = self.state.configuration().revision;
        for (name, subscriber) in self
            .subscribers
            .by_name
            .iter_mut()
            .filter(|(_, s)| s.subscribed)
        {
            if !fresh {
                if confirm {
                    subscriber.subscribed = false;
                    out.push(Output::Send {
                        to: name.clone(),
                        message: Message::NotFresh,
                    });
                }
                continue;
            }
            if subscriber.sent_revision < newest || confirm {
                let message = catch_up_message(&self.state, subscriber.sent_revision);
                subscriber.sent_revision = newest;
                out.push(Output::Send {
                    to: name.clone(),
                    message,
                });
            }
        }
    }
}
