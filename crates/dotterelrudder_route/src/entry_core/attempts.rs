//! Running attempts: chunks, completion, refusals, lost connections and timeouts, and the decision
//! to retry a request on another runner.

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

/// How long after the loss of a side's connection its attempts are kept in case it reconnects.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The maximum number of attempts of one request, the first one included.
const MAX_ATTEMPTS: u32 = 4;
/// How long past its deadline a request waits for its side to end the attempt itself.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

impl EntryCore {
    /// Handles a message: configuration and shares from control, answers and load reports from
    /// sides.
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

    /// Replaces the load report of a side and resets the counters of attempts sent since.
    fn on_load(&mut self, from: &InstanceName, load: LoadReport) {
        if let Some(runner) = self.runners.find_mut(from) {
            runner.load = load;
            runner.attempts_since_report = 0;
            runner.prefill_tokens_since_report = 0;
        }
    }

    /// Returns the request whose current attempt is `attempt` at the side `from`, or `None` for a
    /// late or crossed message of an attempt that is no longer current.
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

    /// Forwards the next chunk of the answer to the caller; drops repeated chunks and queries the
    /// side for missing ones.
    fn on_chunk(&mut self, from: &InstanceName, chunk: AnswerChunk, out: &mut Vec<Output>) {
        let Some((id, request)) = self.request_of_attempt_mut(from, chunk.attempt) else {
            return;
        };
        let Some(current) = &mut request.current else {
            return;
        };
        // `Started` carries the weight version and has to arrive first. Chunks that arrive before
        // it are dropped and requested again later.
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

    /// Retries a request on another runner after an attempt ended without a complete answer, or
    /// refuses it.
    ///
    /// A retry needs a refusal that another runner may not give, a request that may run again, time
    /// before the deadline, attempts left, and credit in the retry budget.
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
        // A retry draws on the budget only if the backend server was called. A leaving side returns
        // its work without having run it.
        let exempt_from_budget = refusal.is_not_run() || refusal.kind == ErrorKind::Leaving;
        let retry = retryable && may_run_again && in_time;
        if !retry || !(exempt_from_budget || self.retry_budget.withdraw(now)) {
            self.refuse(id, refusal, out);
            return;
        }
        self.place(id, now, out);
    }

    /// Cancels the attempt of a request whose caller disconnected, and drops the request.
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

    /// Marks a side as disconnected and starts the reconnect timeout of its attempts.
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

    /// Queries a reconnected side for the rest of the attempts that it ran when the connection was
    /// lost. If the side restarted, which its incarnation shows, these attempts are lost.
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

    /// Abandons an attempt whose side restarted or stayed disconnected for [`RECONNECT_TIMEOUT`].
    ///
    /// A request that may not be repeated ends with [`ErrorKind::OutcomeUnknown`].
    fn on_attempt_lost(&mut self, id: u64, now: Duration, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(current) = &request.current else {
            return;
        };
        if request.is_repeatable() {
            // The attempt may still run at the side, but its answer is no longer needed.
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
        let detail = format!(
            "side \"{}\" restarted or became unreachable while it ran the request",
            current.side
        );
        let refusal = Refusal::new(kind, detail).with_outcome(Outcome::Unknown);
        self.retry_or_refuse(id, refusal, now, out);
    }

    /// Abandons attempts whose side has not reconnected in time, and refuses requests past their
    /// deadline and its grace period.
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
            let refusal = Refusal::new(
                ErrorKind::DeadlineExceeded,
                "the request deadline passed before the answer was complete",
            );
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
