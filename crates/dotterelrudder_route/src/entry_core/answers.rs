//! Answers, failures and lost connections of the attempts of an entry.

use std::time::Duration;

use dotterelrudder_types::AttemptId;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Outcome;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
use dotterelrudder_wire::AnswerChunk;
use dotterelrudder_wire::LoadReport;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Usage;

use crate::request::Request;
use crate::AnswerEvent;
use crate::EntryCore;
use crate::Output;
use crate::Target;

/// How long a side whose connection was lost is waited for before the attempt counts as lost.
const RECONNECT_LIMIT: Duration = Duration::from_millis(1_000);
/// Attempts of one request at most.
const MAX_TRIES: u32 = 4;
/// How long past its deadline a request waits for its side's word.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

impl EntryCore {
    pub(crate) fn on_message(
        &mut self,
        from: InstanceName,
        revision: Revision,
        message: Message,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let mut sends = Vec::new();
        self.follower
            .on_peer_revision(&from, revision, now, &mut sends);
        if self.follower.on_message(&from, &message, now, &mut sends) {
            out.push(Output::InForce {
                revision: self.revision(),
            });
        }
        out.extend(
            sends
                .into_iter()
                .map(|(to, message)| Output::Send { to, message }),
        );
        match message {
            Message::Started {
                attempt,
                version,
                status,
                content_type,
            } => {
                let event = AnswerEvent::Started {
                    version,
                    status,
                    content_type,
                };
                self.on_started(&from, attempt, event, out);
            }
            Message::AnswerChunk(chunk) => self.on_piece(&from, chunk, out),
            Message::Finished {
                attempt,
                pieces,
                usage,
            } => {
                self.on_finished(&from, attempt, pieces, usage, out);
            }
            Message::Refused { attempt, refusal } => {
                self.on_refused(&from, attempt, refusal, now, out);
            }
            Message::Shares(rows) => {
                for (account, share) in rows {
                    self.limits.set_share(&account, f64::from(share), now);
                }
            }
            Message::Load(load) => self.on_load(&from, load),
            Message::Leaving => {
                if let Some(view) = self.runners.named_mut(&from) {
                    view.leaving = true;
                }
            }
            Message::Blocks {
                sequence,
                whole,
                added,
                removed,
            } => {
                let runners = &mut self.runners;
                let continues = runners.change_blocks(&from, sequence, whole, added, &removed);
                let resync = (!continues).then_some(Message::ResyncBlocks);
                out.extend(resync.map(|message| Output::Send { to: from, message }));
            }
            _ => {}
        }
    }

    fn on_load(&mut self, from: &InstanceName, load: LoadReport) {
        if let Some(view) = self.runners.named_mut(from) {
            view.load = load;
            view.own_calls = 0;
            view.own_prefill = 0;
        }
    }

    /// Finds the request of an attempt that runs at this side now; anything else is a late or
    /// crossed message.
    fn request_of(&self, from: &InstanceName, attempt: AttemptId) -> Option<u64> {
        let id = *self.by_attempt.get(&attempt)?;
        let current = self.requests.get(&id)?.current.as_ref()?;
        (current.id == attempt && current.side == *from).then_some(id)
    }

    fn request_mut(
        &mut self,
        from: &InstanceName,
        attempt: AttemptId,
    ) -> Option<(u64, &mut Request)> {
        let id = self.request_of(from, attempt)?;
        Some((id, self.requests.get_mut(&id)?))
    }

    fn on_started(
        &mut self,
        from: &InstanceName,
        attempt: AttemptId,
        event: AnswerEvent,
        out: &mut Vec<Output>,
    ) {
        let Some((id, request)) = self.request_mut(from, attempt) else {
            return;
        };
        if let Some(current) = &mut request.current {
            current.lost_at = None;
        }
        let AnswerEvent::Started { version, .. } = &event else {
            return;
        };
        if request.version.is_none() {
            request.version = Some(version.clone());
            out.push(Output::Respond { id, event });
        }
    }

    fn on_piece(&mut self, from: &InstanceName, chunk: AnswerChunk, out: &mut Vec<Output>) {
        let Some((id, request)) = self.request_mut(from, chunk.attempt) else {
            return;
        };
        let Some(current) = &mut request.current else {
            return;
        };
        // The beginning tells the weight version and comes first; parts before it are asked for again.
        if request.version.is_none() {
            return;
        }
        if chunk.number > current.received {
            let message = Message::Query {
                attempt: chunk.attempt,
                from: current.received,
            };
            out.push(Output::Send {
                to: from.clone(),
                message,
            });
            return;
        }
        if chunk.number < current.received {
            return;
        }
        current.received += 1;
        if matches!(request.target, Target::Completion { .. }) {
            request.text.push(chunk.data.clone());
        }
        out.push(Output::Respond {
            id,
            event: AnswerEvent::Chunk(chunk.data),
        });
    }

    fn on_finished(
        &mut self,
        from: &InstanceName,
        attempt: AttemptId,
        pieces: u32,
        usage: Usage,
        out: &mut Vec<Output>,
    ) {
        let Some((id, request)) = self.request_mut(from, attempt) else {
            return;
        };
        let received = request.current.as_ref().map_or(0, |c| c.received);
        if received < pieces || request.version.is_none() {
            let message = Message::Query {
                attempt,
                from: received,
            };
            out.push(Output::Send {
                to: from.clone(),
                message,
            });
            return;
        }
        let usage = request.usage(usage);
        if let Some(view) = self.runners.named_mut(from) {
            view.succeeded();
        }
        self.forget(id);
        out.push(Output::Respond {
            id,
            event: AnswerEvent::Finished(usage),
        });
    }

    fn on_refused(
        &mut self,
        from: &InstanceName,
        attempt: AttemptId,
        refusal: Refusal,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.request_of(from, attempt) else {
            return;
        };
        if let Some(view) = self.runners.named_mut(from) {
            match refusal.kind {
                ErrorKind::Leaving => view.leaving = true,
                ErrorKind::BackendFailed | ErrorKind::NoBackendServer => view.failed(now),
                _ => {}
            }
        }
        self.attempt_ended(id, refusal, now, out);
    }

    /// Decides what follows an attempt that gave no whole answer: another one, or the refusal.
    fn attempt_ended(&mut self, id: u64, refusal: Refusal, now: Duration, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(current) = request.current.take() {
            self.by_attempt.remove(&current.id);
            request.failed_on.push(current.side);
        }
        let elsewhere = matches!(
            refusal.kind,
            ErrorKind::Leaving
                | ErrorKind::Overloaded
                | ErrorKind::NotReady
                | ErrorKind::NotFound
                | ErrorKind::WrongWeightVersion
                | ErrorKind::NoBackendServer
                | ErrorKind::BackendFailed
        );
        let resumable = matches!(request.target, Target::Completion { .. });
        let may_run_again = (refusal.is_not_run() || request.is_repeatable())
            && (resumable || request.version.is_none());
        request.may_have_run |= !refusal.is_not_run();
        let in_time = now < request.deadline && request.tries < MAX_TRIES;
        // Only what called a backend server costs from the budget; a leaving one sends its work
        // away without having run it.
        let free = refusal.is_not_run() || refusal.kind == ErrorKind::Leaving;
        let again = elsewhere && may_run_again && in_time;
        if !again || !(free || self.budget.take(now)) {
            self.refuse(id, refusal, out);
            return;
        }
        self.place(id, now, out);
    }

    pub(crate) fn on_caller_gone(&mut self, id: u64, out: &mut Vec<Output>) {
        if let Some(current) = self.requests.get(&id).and_then(|r| r.current.as_ref()) {
            let message = Message::Cancel {
                attempt: current.id,
            };
            out.push(Output::Send {
                to: current.side.clone(),
                message,
            });
        }
        self.forget(id);
    }

    pub(crate) fn on_closed(&mut self, peer: &InstanceName, now: Duration) {
        self.follower.closed(peer);
        if let Some(view) = self.runners.named_mut(peer) {
            view.connected = false;
            view.own_calls = 0;
            view.own_prefill = 0;
            view.load.running = 0;
        }
        let current = self
            .requests
            .values_mut()
            .filter_map(|r| r.current.as_mut());
        for attempt in current.filter(|c| c.side == *peer) {
            attempt.lost_at.get_or_insert(now);
        }
    }

    /// Asks on a new connection for the state of the attempts that ran on the old one.
    pub(crate) fn ask_after_attempts(
        &mut self,
        peer: &InstanceName,
        incarnation: u64,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let mut lost = Vec::new();
        for (id, request) in &mut self.requests {
            let Some(current) = request.current.as_mut().filter(|c| c.side == *peer) else {
                continue;
            };
            if current.incarnation != incarnation {
                lost.push(*id);
                continue;
            }
            if current.lost_at.take().is_some() {
                let message = Message::Query {
                    attempt: current.id,
                    from: current.received,
                };
                out.push(Output::Send {
                    to: peer.clone(),
                    message,
                });
            }
        }
        for id in lost {
            self.attempt_lost(id, now, out);
        }
    }

    /// Gives up an attempt whose side restarted or can't be reached.
    fn attempt_lost(&mut self, id: u64, now: Duration, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(current) = &request.current else {
            return;
        };
        if request.is_repeatable() {
            // It may still run there; nobody waits for it any more.
            let message = Message::Cancel {
                attempt: current.id,
            };
            out.push(Output::Send {
                to: current.side.clone(),
                message,
            });
        }
        let kind = if request.is_repeatable() {
            ErrorKind::BackendFailed
        } else {
            ErrorKind::OutcomeUnknown
        };
        let detail = format!("\"{}\" was lost while it ran the request", current.side);
        let refusal = Refusal::new(kind, detail).with_outcome(Outcome::Unknown);
        self.attempt_ended(id, refusal, now, out);
    }

    pub(crate) fn tick_requests(&mut self, now: Duration, out: &mut Vec<Output>) {
        let lost = self.requests.iter().filter(|(_, r)| {
            let lost_at = r.current.as_ref().and_then(|c| c.lost_at);
            lost_at.is_some_and(|at| now >= at + RECONNECT_LIMIT)
        });
        for id in lost.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.attempt_lost(id, now, out);
        }
        let overdue = self
            .requests
            .iter()
            .filter(|(_, r)| now >= r.deadline + DEADLINE_GRACE);
        for id in overdue.map(|(id, _)| *id).collect::<Vec<_>>() {
            let refusal = Refusal::new(ErrorKind::DeadlineExceeded, "the deadline passed");
            self.on_overdue(id, refusal.with_outcome(Outcome::Unknown), out);
        }
    }

    fn on_overdue(&mut self, id: u64, refusal: Refusal, out: &mut Vec<Output>) {
        if let Some(current) = self.requests.get(&id).and_then(|r| r.current.as_ref()) {
            let message = Message::Cancel {
                attempt: current.id,
            };
            out.push(Output::Send {
                to: current.side.clone(),
                message,
            });
        }
        self.refuse(id, refusal, out);
    }
}
