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
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 4;
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
            Message::AnswerChunk(chunk) => self.on_chunk(&from, chunk, out),
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
                    self.account_limits
                        .set_share(&account, f64::from(share), now);
                }
            }
            Message::Load(load) => self.on_load(&from, load),
            Message::Leaving => {
                if let Some(runner) = self.runners.find_mut(&from) {
                    runner.leaving = true;
                }
            }
            Message::Blocks {
                sequence,
                whole,
                added,
                removed,
            } => {
                let runners = &mut self.runners;
                let in_sequence =
                    runners.apply_block_update(&from, sequence, whole, added, &removed);
                let resync = (!in_sequence).then_some(Message::ResyncBlocks);
                out.extend(resync.map(|message| Output::Send { to: from, message }));
            }
            _ => {}
        }
    }

    fn on_load(&mut self, from: &InstanceName, load: LoadReport) {
        if let Some(runner) = self.runners.find_mut(from) {
            runner.load = load;
            runner.attempts_since_report = 0;
            runner.prefill_tokens_since_report = 0;
        }
    }

    /// Finds the request of an attempt that runs at this side now; anything else is a late or
    /// crossed message.
    fn request_of_attempt(&self, from: &InstanceName, attempt: AttemptId) -> Option<u64> {
        let id = *self.request_by_attempt.get(&attempt)?;
        let current = self.requests.get(&id)?.current.as_ref()?;
        (current.id == attempt && current.side == *from).then_some(id)
    }

    fn request_of_attempt_mut(
        &mut self,
        from: &InstanceName,
        attempt: AttemptId,
    ) -> Option<(u64, &mut Request)> {
        let id = self.request_of_attempt(from, attempt)?;
        Some((id, self.requests.get_mut(&id)?))
    }

    fn on_started(
        &mut self,
        from: &InstanceName,
        attempt: AttemptId,
        event: AnswerEvent,
        out: &mut Vec<Output>,
    ) {
        let Some((id, request)) = self.request_of_attempt_mut(from, attempt) else {
            return;
        };
        if let Some(current) = &mut request.current {
            current.disconnected_at = None;
        }
        let AnswerEvent::Started { version, .. } = &event else {
            return;
        };
        if request.version.is_none() {
            request.version = Some(version.clone());
            out.push(Output::Respond { id, event });
        }
    }

    fn on_chunk(&mut self, from: &InstanceName, chunk: AnswerChunk, out: &mut Vec<Output>) {
        let Some((id, request)) = self.request_of_attempt_mut(from, chunk.attempt) else {
            return;
        };
        let Some(current) = &mut request.current else {
            return;
        };
        // The beginning tells the weight version and comes first; parts before it are asked for again.
        if request.version.is_none() {
            return;
        }
        if chunk.number > current.received_chunks {
            let message = Message::Query {
                attempt: chunk.attempt,
                from: current.received_chunks,
            };
            out.push(Output::Send {
                to: from.clone(),
                message,
            });
            return;
        }
        if chunk.number < current.received_chunks {
            return;
        }
        current.received_chunks += 1;
        if matches!(request.target, Target::Completion { .. }) {
            request.received_text.push(chunk.data.clone());
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
        total_chunks: u32,
        usage: Usage,
        out: &mut Vec<Output>,
    ) {
        let Some((id, request)) = self.request_of_attempt_mut(from, attempt) else {
            return;
        };
        let received_chunks = request.current.as_ref().map_or(0, |c| c.received_chunks);
        if received_chunks < total_chunks || request.version.is_none() {
            let message = Message::Query {
                attempt,
                from: received_chunks,
            };
            out.push(Output::Send {
                to: from.clone(),
                message,
            });
            return;
        }
        let usage = request.usage(usage);
        if let Some(runner) = self.runners.find_mut(from) {
            runner.record_success();
        }
        self.remove_request(id);
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
        let Some(id) = self.request_of_attempt(from, attempt) else {
            return;
        };
        if let Some(runner) = self.runners.find_mut(from) {
            match refusal.kind {
                ErrorKind::Leaving => runner.leaving = true,
                ErrorKind::BackendFailed | ErrorKind::NoBackendServer => runner.record_failure(now),
                _ => {}
            }
        }
        self.retry_or_refuse(id, refusal, now, out);
    }

    /// Decides what follows an attempt that gave no whole answer: another one, or the refusal.
    fn retry_or_refuse(&mut self, id: u64, refusal: Refusal, now: Duration, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(current) = request.current.take() {
            self.request_by_attempt.remove(&current.id);
            request.failed_on.push(current.side);
        }
        let retryable = matches!(
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
        let in_time = now < request.deadline && request.attempts < MAX_ATTEMPTS;
        // Only what called a backend server costs from the budget; a leaving one sends its work
        // away without having run it.
        let exempt_from_budget = refusal.is_not_run() || refusal.kind == ErrorKind::Leaving;
        let retry = retryable && may_run_again && in_time;
        if !retry || !(exempt_from_budget || self.retry_budget.withdraw(now)) {
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
        self.remove_request(id);
    }

    pub(crate) fn on_closed(&mut self, peer: &InstanceName, now: Duration) {
        self.follower.closed(peer);
        if let Some(runner) = self.runners.find_mut(peer) {
            runner.connected = false;
            runner.attempts_since_report = 0;
            runner.prefill_tokens_since_report = 0;
            runner.load.running = 0;
        }
        let current = self
            .requests
            .values_mut()
            .filter_map(|r| r.current.as_mut());
        for attempt in current.filter(|c| c.side == *peer) {
            attempt.disconnected_at.get_or_insert(now);
        }
    }

    /// Asks on a new connection for the state of the attempts that ran on the old one.
    pub(crate) fn query_attempts_after_reconnect(
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
            if current.disconnected_at.take().is_some() {
                let message = Message::Query {
                    attempt: current.id,
                    from: current.received_chunks,
                };
                out.push(Output::Send {
                    to: peer.clone(),
                    message,
                });
            }
        }
        for id in lost {
            self.on_attempt_lost(id, now, out);
        }
    }

    /// Gives up an attempt whose side restarted or can't be reached.
    fn on_attempt_lost(&mut self, id: u64, now: Duration, out: &mut Vec<Output>) {
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
        self.retry_or_refuse(id, refusal, now, out);
    }

    pub(crate) fn check_timeouts(&mut self, now: Duration, out: &mut Vec<Output>) {
        let lost = self.requests.iter().filter(|(_, r)| {
            let disconnected_at = r.current.as_ref().and_then(|c| c.disconnected_at);
            disconnected_at.is_some_and(|at| now >= at + RECONNECT_TIMEOUT)
        });
        for id in lost.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.on_attempt_lost(id, now, out);
        }
        let past_deadline = self
            .requests
            .iter()
            .filter(|(_, r)| now >= r.deadline + DEADLINE_GRACE);
        for id in past_deadline.map(|(id, _)| *id).collect::<Vec<_>>() {
            let refusal = Refusal::new(ErrorKind::DeadlineExceeded, "the deadline passed");
            self.on_deadline_passed(id, refusal.with_outcome(Outcome::Unknown), out);
        }
    }

    fn on_deadline_passed(&mut self, id: u64, refusal: Refusal, out: &mut Vec<Output>) {
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
