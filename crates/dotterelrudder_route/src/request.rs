//! One caller's request while the entry works on it.

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

/// The attempt that runs for a request now.
#[derive(Debug)]
pub(crate) struct CurrentAttempt {
    pub(crate) id: AttemptId,
    pub(crate) side: InstanceName,
    pub(crate) incarnation: u64,
    /// Pieces of this attempt that arrived.
    pub(crate) received_chunks: u32,
    /// When the connection was lost, until the side answers on a new one.
    pub(crate) disconnected_at: Option<Duration>,
}

/// A request with all that later attempts need.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) account: ClientAccount,
    pub(crate) tier: Tier,
    pub(crate) service: ServiceName,
    pub(crate) target: Target,
    pub(crate) repeatable: bool,
    pub(crate) claim: Option<ClaimKey>,
    pub(crate) deadline: Duration,
    pub(crate) version: Option<WeightVersion>,
    pub(crate) received_text: Vec<Bytes>,
    pub(crate) failed_on: Vec<InstanceName>,
    pub(crate) attempts: u32,
    /// Whether any attempt can have run, so that no later refusal may say otherwise.
    pub(crate) may_have_run: bool,
    pub(crate) current: Option<CurrentAttempt>,
}

impl Request {
    /// Returns whether the request may run again after it may have run.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.repeatable && self.claim.is_none()
    }

    /// Returns the text that the engine has to continue: the prompt and what was answered.
    pub(crate) fn attempt_input(&self) -> Bytes {
        match &self.target {
            Target::Completion { prompt, .. } if self.received_text.is_empty() => prompt.clone(),
            Target::Completion { prompt, .. } => [prompt.as_ref(), &self.received_text.concat()]
                .concat()
                .into(),
            Target::Call { body, .. } => body.clone(),
        }
    }

    /// Returns the work of the next attempt.
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

    /// Returns the usage as the caller sees it, over all attempts.
    pub(crate) fn usage(&self, last: Usage) -> Usage {
        let Target::Completion { prompt, .. } = &self.target else {
            return last;
        };
        let prompt_tokens = prompt.len().div_ceil(TOKEN_BYTES) as u32;
        Usage {
            prompt_tokens,
            // A stored answer comes as one piece and brings its own count.
            completion_tokens: last.completion_tokens.max(self.received_text.len() as u32),
            cached_tokens: last.cached_tokens.min(prompt_tokens),
        }
    }
}
