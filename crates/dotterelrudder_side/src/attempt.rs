//! The life cycle of one attempt, a type for each state.

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

/// What the attempt's entry was told of the beginning of the answer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct AnswerHead {
    pub(crate) version: WeightVersion,
    pub(crate) status: u16,
    pub(crate) content_type: CompactString,
}

/// Waits for a free slot of the backend server.
#[derive(Debug)]
pub(crate) struct Queued;

/// Waits for control's word on its claim.
#[derive(Debug)]
pub(crate) struct Claiming;

/// Waits for blocks from stores.
#[derive(Debug)]
pub(crate) struct Importing {
    pub(crate) missing: BTreeSet<BlockKey>,
    pub(crate) requested_at: Duration,
    pub(crate) due: Duration,
    pub(crate) bytes: usize,
    pub(crate) run: u64,
    pub(crate) version: WeightVersion,
}

/// The backend server was called.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) run: u64,
    pub(crate) since: Duration,
}

/// Has its answer, which control is asked to keep before the entry is told of the end.
#[derive(Debug)]
pub(crate) struct StoringAnswer {
    pub(crate) usage: Usage,
    pub(crate) due: Duration,
}

/// Was not run; control is asked to free its claim before the entry is told, so that the next
/// attempt finds the key free.
#[derive(Debug)]
pub(crate) struct ReleasingClaim {
    pub(crate) refusal: Refusal,
    pub(crate) due: Duration,
}

/// Ended; kept for queries and as a tombstone against a late original.
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
    pub(crate) chunks: Vec<Bytes>,
    pub(crate) claimed: bool,
    /// Calls that can have reached the backend server; after one no refusal may say otherwise.
    pub(crate) calls: u32,
    pub(crate) state: S,
}

impl<S> Attempt<S> {
    /// Moves the attempt on to another state.
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

    /// Ends the attempt.
    pub(crate) fn end(self, result: Result<Usage, Refusal>, at: Duration) -> Attempt<Ended> {
        self.into_state(Ended { result, at })
    }

    /// Returns the message that tells the beginning of the answer.
    pub(crate) fn started_message(&self) -> Option<Message> {
        let head = self.head.as_ref()?;
        Some(Message::Started {
            attempt: self.start.attempt,
            version: head.version.clone(),
            status: head.status,
            content_type: head.content_type.clone(),
        })
    }

    /// Returns the messages that repeat the answer from a piece on.
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

    /// Returns the text answered so far.
    pub(crate) fn text(&self) -> Vec<u8> {
        self.chunks.concat()
    }
}

impl Attempt<Ended> {
    /// Returns the message that tells the end.
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

    /// Tells what a refusal has to say of the execution.
    pub(crate) fn outcome(&self) -> Outcome {
        let calls = each_state!(self, a => a.calls);
        if calls > 0 {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    pub(crate) fn is_claimed(&self) -> bool {
        each_state!(self, a => a.claimed)
    }

    pub(crate) fn repeat_from(&self, from: u32) -> Vec<Message> {
        let mut messages = each_state!(self, a => a.repeat_from(from));
        if let Self::Ended(ended) = self {
            messages.push(ended.end_message());
        }
        messages
    }

    /// Returns whether the attempt holds a slot of the backend server.
    pub(crate) fn holds_slot(&self) -> bool {
        matches!(
            self,
            Self::Claiming(_) | Self::Importing(_) | Self::Running(_)
        )
    }

    /// Returns whether no part of the answer came yet.
    pub(crate) fn awaits_first_token(&self) -> bool {
        each_state!(self, a => a.chunks.is_empty())
    }

    pub(crate) fn is_ended(&self) -> bool {
        matches!(self, Self::Ended(_))
    }

    /// Returns the run that the backend server was called for, or will be.
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
