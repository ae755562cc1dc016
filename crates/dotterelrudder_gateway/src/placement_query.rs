//! What is asked when a runner is chosen.

use crate::Prompt;
use crate::RunnerKey;
use dotterelrudder_config::deployment::AccountEntry;
use dotterelrudder_types::ServiceName;
use std::time::Duration;

/// What is asked of [`crate::Gateway::place`].
#[derive(Debug)]
pub struct PlacementQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The prompt, for a model's request.
    pub prompt: Option<&'a Prompt>,
    /// The account, whose KV cache may have to stay apart.
    pub account: Option<&'a AccountEntry>,
    /// Runners that were tried.
    pub tried: &'a [RunnerKey],
    /// Whether the request may be repeated.
    pub repeatable: bool,
    /// The time within which a first part is on time.
    pub objective: Duration,
}
