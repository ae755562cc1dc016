//! The state of one request from its admission to its answer.

use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::ServiceName;
use dotterelrudder_types::Tier;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_types::TOKEN_BYTES;
use dotterelrudder_wire::ClaimKey;
use dotterelrudder_wire::Usage;
use dotterelrudder_wire::Work;

use crate::Target;

/// The attempt that currently runs for a request.
#[derive(Debug)]
pub(crate) struct CurrentAttempt {
    pub(crate) id: AttemptId,
    pub(crate) side: InstanceName,
    /// The incarnation of the side when the attempt started; another one means a restart.
    pub(crate) incarnation: u64,
    /// The number of chunks of this attempt received so far.
    pub(crate) received_chunks: u32,
    /// When the connection to the side was lost; `None` once it has reconnected.
    pub(crate) disconnected_at: Option<Duration>,
}

/// A request in progress, with everything that a later attempt needs.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) account: ClientAccount,
    pub(crate) tier: Tier,
    pub(crate) service: ServiceName,
    pub(crate) target: Target,
    /// Whether the request is safe to run more than once, regardless of a claim.
    pub(crate) repeatable: bool,
    /// Present when the caller sent an idempotency key.
    pub(crate) claim: Option<ClaimKey>,
    pub(crate) deadline: Duration,
    /// The weight version of the first attempt that started; later ones must use the same.
    pub(crate) version: Option<WeightVersion>,
    /// The generated text received so far over all attempts, one chunk per token.
    pub(crate) received_text: Vec<Bytes>,
    /// The sides whose attempt of this request ended without a complete answer.
    pub(crate) failed_on: Vec<InstanceName>,
    /// The number of attempts started.
    pub(crate) attempts: u32,
    /// Whether any attempt may have run, in which case no later refusal may report that the request
    /// was not run.
    pub(crate) may_have_run: bool,
    pub(crate) current: Option<CurrentAttempt>,
}

impl Request {
    /// Returns whether the request may run again after an attempt that may have run. A request with
    /// an idempotency key may not.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.repeatable && self.claim.is_none()
    }

    /// Returns the input of the next attempt: the prompt followed by the text generated so far, or
    /// the body of a call.
    pub(crate) fn attempt_input(&self) -> Bytes {
        match &self.target {
            Target::Completion { prompt, .. } if self.received_text.is_empty() => prompt.clone(),
            Target::Completion { prompt, .. } => [prompt.as_ref(), &self.received_text.concat()]
                .concat()
                .into(),
            Target::Call { body, .. } => body.clone(),
        }
    }

    /// Returns the work of the next attempt, which imports the given blocks from stores.
    pub(crate) fn work(&self, import: Vec<(dotterelrudder_types::BlockKey, InstanceName)>) -> Work {
        match &self.target {
            Target::Completion {
                model, max_tokens, ..
            } => Work::Completion {
                model: model.clone(),
                prompt: self.attempt_input(),
                max_tokens: max_tokens.saturating_sub(self.received_text.len() as u32),
                version: self.version.clone(),
                import,
            },
            Target::Call {
                method,
                path,
                content_type,
                body,
            } => Work::Call {
                method: method.clone(),
                path: path.clone(),
                content_type: content_type.clone(),
                body: body.clone(),
            },
        }
    }

    /// Returns the token usage reported to the caller, over all attempts; `last` is that of the
    /// last attempt.
    pub(crate) fn usage(&self, last: Usage) -> Usage {
        let Target::Completion { prompt, .. } = &self.target else {
            return last;
        };
        let prompt_tokens = prompt.len().div_ceil(TOKEN_BYTES) as u32;
        Usage {
            prompt_tokens,
            // A stored answer arrives as a single chunk, so that only its own count is right.
            completion_tokens: last.completion_tokens.max(self.received_text.len() as u32),
            cached_tokens: last.cached_tokens.min(prompt_tokens),
        }
    }
}
