//! Runs: calls of the backend server, from the request to the end or failure of the answer.
//!
//! An attempt has one run, or several if it was preempted; each has its own number.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Outcome;
use dotterelrudder_types::Refusal;
use dotterelrudder_wire::AnswerChunk;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Start;
use dotterelrudder_wire::Usage;
use dotterelrudder_wire::Work;

use crate::attempt::AnswerHead;
use crate::attempt::AnyAttempt;
use crate::attempt::Running;
use crate::attempt_table::AttemptKey;
use crate::runner_side::RunnerSide;
use crate::side_core::SideContext;
use crate::Input;
use crate::Output;

impl RunnerSide {
    /// Calls the backend server. From here on a refusal may not report the attempt as not run,
    /// unless the call turns out not to have reached the server.
    pub(crate) fn call_backend(&mut self, key: AttemptKey, now: Duration, out: &mut Vec<Output>) {
        let Some(any) = self.attempts.get(key) else {
            return;
        };
        let run = any.run().unwrap_or(self.next_run);
        self.next_run = self.next_run.max(run + 1);
        let running = Running { run, since: now };
        self.attempts.advance(key, |any| match any {
            AnyAttempt::Queued(a) => AnyAttempt::Running(a.into_state(running)),
            AnyAttempt::Claiming(a) => AnyAttempt::Running(a.into_state(running)),
            AnyAttempt::Importing(a) => AnyAttempt::Running(a.into_state(running)),
            other => other,
        });
        if let Some(AnyAttempt::Running(a)) = self.attempts.get_mut(key) {
            a.calls += 1;
            let start = Box::new(remaining_work(&a.start, &a.chunks));
            out.push(Output::Call {
                run,
                tier: a.start.tier,
                start,
            });
        }
    }

    /// Handles an event of a run.
    pub(crate) fn on_run_event(
        &mut self,
        input: Input,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::BlockImported { run, key, .. } => self.on_imported(run, &key, now, out),
            Input::RunStarted {
                run,
                version,
                status,
                content_type,
            } => {
                self.on_run_started(
                    run,
                    AnswerHead {
                        version,
                        status,
                        content_type,
                    },
                    now,
                    out,
                );
            }
            Input::RunChunk { run, data } => self.on_run_chunk(run, data, out),
            Input::RunFinished { run, usage } => {
                self.on_run_finished(run, usage, context, now, out)
            }
            Input::RunFailed {
                run,
                called,
                detail,
            } => {
                self.on_run_failed(run, called, detail, now, out);
            }
            _ => {}
        }
    }

    /// Returns the attempt that a run executes; `None` for late events of cancelled runs.
    fn running_attempt(&self, run: u64) -> Option<AttemptKey> {
        let key = self.attempts.key_of_run(run)?;
        matches!(self.attempts.get(key), Some(AnyAttempt::Running(_))).then_some(key)
    }

    /// Checks the weight version of an answer that begins. A resumed answer must come from the
    /// version that generated the text before it, otherwise from the requested one.
    fn on_run_started(&mut self, run: u64, head: AnswerHead, now: Duration, out: &mut Vec<Output>) {
        let Some(key) = self.running_attempt(run) else {
            return;
        };
        let Some(AnyAttempt::Running(a)) = self.attempts.get_mut(key) else {
            return;
        };
        let expected = match (&a.head, &a.start.work) {
            (Some(earlier), _) => Some(&earlier.version),
            (None, Work::Completion { version, .. }) => version.as_ref(),
            _ => None,
        };
        if expected.is_some_and(|version| *version != head.version) {
            out.push(Output::CancelRun { run });
            let detail = format!(
                "the engine answered with weight version \"{}\" instead of the expected one",
                head.version
            );
            let refusal = Refusal::new(ErrorKind::WrongWeightVersion, detail);
            self.end_attempt(key, Err(refusal.with_outcome(Outcome::Unknown)), now, out);
            return;
        }
        if a.head.is_none() {
            a.head = Some(head);
            let to = a.entry.clone();
            out.extend(
                a.started_message()
                    .map(|message| Output::Send { to, message }),
            );
        }
    }

    /// Numbers a chunk of the answer, keeps it for queries and sends it to the entry.
    fn on_run_chunk(&mut self, run: u64, data: Bytes, out: &mut Vec<Output>) {
        let Some(key) = self.running_attempt(run) else {
            return;
        };
        if let Some(AnyAttempt::Running(a)) = self.attempts.get_mut(key) {
            let number = a.chunks.len() as u32;
            let chunk = AnswerChunk {
                attempt: a.start.attempt,
                number,
                data: data.clone(),
            };
            a.chunks.push(data);
            out.push(Output::Send {
                to: a.entry.clone(),
                message: Message::AnswerChunk(chunk),
            });
        }
    }

    /// Ends a successful attempt, or stores its answer first if it holds a claim.
    fn on_run_finished(
        &mut self,
        run: u64,
        mut usage: Usage,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let Some(key) = self.running_attempt(run) else {
            return;
        };
        self.offer_blocks(key, context, out);
        let Some(AnyAttempt::Running(a)) = self.attempts.get(key) else {
            return;
        };
        if let Work::Completion { prompt, .. } = &a.start.work {
            // The engine counts the text generated before a preemption as prompt tokens of the
            // resumed run. The usage reported to the caller counts only the caller's own prompt.
            let tokens = prompt.len().div_ceil(dotterelrudder_types::TOKEN_BYTES) as u32;
            usage.prompt_tokens = tokens;
            usage.cached_tokens = usage.cached_tokens.min(tokens);
            usage.completion_tokens = a.chunks.len() as u32;
        }
        if a.claimed {
            self.store_answer(key, usage, now);
        } else {
            self.end_attempt(key, Ok(usage), now, out);
        }
    }

    /// Fails an attempt whose run ended early. `called` is false if no byte of the request can have
    /// reached the backend server, so that the call does not count.
    fn on_run_failed(
        &mut self,
        run: u64,
        called: bool,
        detail: CompactString,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let Some(key) = self.running_attempt(run) else {
            return;
        };
        if let (false, Some(AnyAttempt::Running(a))) = (called, self.attempts.get_mut(key)) {
            a.calls -= 1;
        }
        let Some(any) = self.attempts.get(key) else {
            return;
        };
        let outcome = any.outcome();
        let kind = match (outcome, any.is_claimed()) {
            (Outcome::NotRun, _) => ErrorKind::NoBackendServer,
            (Outcome::Unknown, false) => ErrorKind::BackendFailed,
            (Outcome::Unknown, true) => ErrorKind::OutcomeUnknown,
        };
        self.fail_attempt(
            key,
            Refusal::new(kind, detail).with_outcome(outcome),
            now,
            out,
        );
    }

    /// Offers the KV cache blocks of a finished completion to one of the service's stores, which
    /// rendezvous hashing of the first block's key selects among the connected ones.
    fn offer_blocks(&mut self, key: AttemptKey, context: &SideContext, out: &mut Vec<Output>) {
        let Some(AnyAttempt::Running(a)) = self.attempts.get(key) else {
            return;
        };
        let (Work::Completion { model, prompt, .. }, Some(head)) = (&a.start.work, &a.head) else {
            return;
        };
        let mut text = prompt.to_vec();
        text.extend(a.text());
        let keys = BlockKey::chain(&a.start.account, model, &head.version, &text);
        let service = context.follower.cfg().services.get(&a.start.service);
        let (Some(first), Some(service)) = (keys.first(), service) else {
            return;
        };
        let stores = context.peers.iter().filter(|(_, peer)| {
            peer.service
                .as_ref()
                .is_some_and(|s| service.stores.contains(s))
        });
        let chosen = stores
            .map(|(name, _)| name)
            .max_by_key(|s| first.rendezvous_score(s.as_str()));
        if let Some(store) = chosen.cloned() {
            let (tier, percent) = (a.start.tier, service.trial_store_percent);
            self.block_exporter.offer(&keys, store, tier, percent, out);
        }
    }
}

/// Returns the work that remains after the chunks generated before a preemption: the chunks are
/// appended to the prompt and subtracted from the token limit, at one token per chunk.
fn remaining_work(start: &Start, chunks: &[Bytes]) -> Start {
    let mut start = start.clone();
    if let Work::Completion {
        prompt, max_tokens, ..
    } = &mut start.work
    {
        if !chunks.is_empty() {
            let mut text = prompt.to_vec();
            text.extend(chunks.concat());
            *prompt = text.into();
            *max_tokens = max_tokens.saturating_sub(chunks.len() as u32);
        }
    }
    start
}
