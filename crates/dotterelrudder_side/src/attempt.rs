//! The state machine of an attempt, with one type per state.
//!
//! `Queued`, then optionally `Claiming` and `Importing`, then `Running`, optionally `StoringAnswer`
//! or `ReleasingClaim`, then `Ended`. Preemption returns a running attempt to `Queued`, and
//! cancellations, deadlines and refusals end an attempt in other states.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Outcome;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_wire::AnswerChunk;
use dotterelrudder_wire::Message;
use dotterelrudder_wire::Start;
use dotterelrudder_wire::Usage;

/// The beginning of the answer, as sent to the attempt's entry.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct AnswerHead {
    pub(crate) version: WeightVersion,
    pub(crate) status: u16,
    pub(crate) content_type: CompactString,
}

/// State: queued for a free slot of the backend server.
#[derive(Debug)]
pub(crate) struct Queued;

/// State: holds a slot and waits for control's verdict on its claim.
#[derive(Debug)]
pub(crate) struct Claiming;

/// State: holds a slot and waits for KV cache blocks from stores.
#[derive(Debug)]
pub(crate) struct Importing {
    /// Requested blocks that are not imported yet.
    pub(crate) missing: BTreeSet<BlockKey>,
    pub(crate) requested_at: Duration,
    /// When the attempt runs without the missing blocks.
    pub(crate) due: Duration,
    /// Bytes received so far.
    pub(crate) bytes: usize,
    /// The number reserved for the run that follows.
    pub(crate) run: u64,
    /// The weight version that the blocks belong to.
    pub(crate) version: WeightVersion,
}

/// State: the backend server was called.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) run: u64,
    pub(crate) since: Duration,
}

/// State: a claimed attempt has its complete answer and waits until control has stored it; then the
/// entry receives the end of the answer.
#[derive(Debug)]
pub(crate) struct StoringAnswer {
    pub(crate) usage: Usage,
    /// When the attempt ends without control's result.
    pub(crate) due: Duration,
}

/// State: a claimed attempt did not run and waits until control has released its claim; then the
/// entry receives the refusal, so that a retry finds the key free.
#[derive(Debug)]
pub(crate) struct ReleasingClaim {
    pub(crate) refusal: Refusal,
    /// When the attempt ends without control's result.
    pub(crate) due: Duration,
}

/// State: ended. The answer is kept for queries for a time; a tombstone refuses start messages that
/// arrive late for longer.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) result: Result<Usage, Refusal>,
    pub(crate) at: Duration,
}

/// One attempt in state `S`.
#[derive(Debug)]
pub(crate) struct Attempt<S> {
    pub(crate) start: Start,
    pub(crate) entry: InstanceName,
    pub(crate) deadline: Duration,
    pub(crate) head: Option<AnswerHead>,
    /// The chunks of the answer so far; an index is the number of its chunk.
    pub(crate) chunks: Vec<Bytes>,
    /// Whether control granted the claim of an at-most-once request.
    pub(crate) claimed: bool,
    /// Number of calls that may have reached the backend server. If there is one, a refusal must
    /// report the outcome as unknown instead of not run.
    pub(crate) calls: u32,
    pub(crate) state: S,
}

impl<S> Attempt<S> {
    /// Moves the attempt to another state.
    pub(crate) fn into_state<T>(self, state: T) -> Attempt<T> {
        Attempt {
            start: self.start,
            entry: self.entry,
            deadline: self.deadline,
            head: self.head,
            chunks: self.chunks,
            claimed: self.claimed,
            calls: self.calls,
            state,
        }
    }

    /// Moves the attempt to the final state.
    pub(crate) fn end(self, result: Result<Usage, Refusal>, at: Duration) -> Attempt<Ended> {
        self.into_state(Ended { result, at })
    }

    /// Returns the message that announces the beginning of the answer, if it has begun.
    pub(crate) fn started_message(&self) -> Option<Message> {
        let head = self.head.as_ref()?;
        Some(Message::Started {
            attempt: self.start.attempt,
            version: head.version.clone(),
            status: head.status,
            content_type: head.content_type.clone(),
        })
    }

    /// Returns the messages that repeat the answer, beginning with the chunk numbered `from`.
    pub(crate) fn repeat_from(&self, from: u32) -> Vec<Message> {
        let attempt = self.start.attempt;
        let rest = self.chunks.iter().enumerate().skip(from as usize);
        let chunks = rest.map(|(number, data)| {
            Message::AnswerChunk(AnswerChunk {
                attempt,
                number: number as u32,
                data: data.clone(),
            })
        });
        self.started_message().into_iter().chain(chunks).collect()
    }

    /// Returns the bytes of the answer so far.
    pub(crate) fn text(&self) -> Vec<u8> {
        self.chunks.concat()
    }
}

impl Attempt<Ended> {
    /// Returns the message that announces the result.
    pub(crate) fn end_message(&self) -> Message {
        let attempt = self.start.attempt;
        match &self.state.result {
            Ok(usage) => {
                let pieces = self.chunks.len() as u32;
                Message::Finished {
                    attempt,
                    pieces,
                    usage: *usage,
                }
            }
            Err(refusal) => Message::Refused {
                attempt,
                refusal: refusal.clone(),
            },
        }
    }
}

/// An attempt in any state.
#[derive(Debug)]
pub(crate) enum AnyAttempt {
    Queued(Attempt<Queued>),
    Claiming(Attempt<Claiming>),
    Importing(Attempt<Importing>),
    Running(Attempt<Running>),
    StoringAnswer(Attempt<StoringAnswer>),
    ReleasingClaim(Attempt<ReleasingClaim>),
    Ended(Attempt<Ended>),
}

/// Evaluates an expression for the attempt in an [`AnyAttempt`], whatever its state.
macro_rules! each_state {
    ($any:expr, $attempt:ident => $body:expr) => {
        match $any {
            AnyAttempt::Queued($attempt) => $body,
            AnyAttempt::Claiming($attempt) => $body,
            AnyAttempt::Importing($attempt) => $body,
            AnyAttempt::Running($attempt) => $body,
            AnyAttempt::StoringAnswer($attempt) => $body,
            AnyAttempt::ReleasingClaim($attempt) => $body,
            AnyAttempt::Ended($attempt) => $body,
        }
    };
}

impl AnyAttempt {
    pub(crate) fn start(&self) -> &Start {
        each_state!(self, a => &a.start)
    }

    pub(crate) fn entry(&self) -> &InstanceName {
        each_state!(self, a => &a.entry)
    }

    pub(crate) fn deadline(&self) -> Duration {
        each_state!(self, a => a.deadline)
    }

    /// Returns the outcome that a refusal of this attempt has to report.
    pub(crate) fn outcome(&self) -> Outcome {
        let calls = each_state!(self, a => a.calls);
        if calls > 0 {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Returns whether the attempt holds a granted claim.
    pub(crate) fn is_claimed(&self) -> bool {
        each_state!(self, a => a.claimed)
    }

    /// Returns the messages that repeat the answer from chunk `from` on, with the result if the
    /// attempt has ended.
    pub(crate) fn repeat_from(&self, from: u32) -> Vec<Message> {
        let mut messages = each_state!(self, a => a.repeat_from(from));
        if let Self::Ended(ended) = self {
            messages.push(ended.end_message());
        }
        messages
    }

    /// Returns whether the attempt occupies a slot of the backend server.
    pub(crate) fn holds_slot(&self) -> bool {
        matches!(
            self,
            Self::Claiming(_) | Self::Importing(_) | Self::Running(_)
        )
    }

    /// Returns whether the attempt has no chunk of its answer yet.
    pub(crate) fn awaits_first_token(&self) -> bool {
        each_state!(self, a => a.chunks.is_empty())
    }

    pub(crate) fn is_ended(&self) -> bool {
        matches!(self, Self::Ended(_))
    }

    /// Returns the number of the run in progress, or of the one that follows an import.
    pub(crate) fn run(&self) -> Option<u64> {
        match self {
            Self::Importing(a) => Some(a.state.run),
            Self::Running(a) => Some(a.state.run),
            _ => None,
        }
    }

    pub(crate) fn end(self, result: Result<Usage, Refusal>, at: Duration) -> Attempt<Ended> {
        each_state!(self, a => a.end(result, at))
    }
}
