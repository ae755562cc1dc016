//! Input of the placement of a request.

use crate::Prompt;
use crate::RoomRule;
use crate::RunnerKey;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::CacheGroup;
use std::time::Duration;

/// The input of [`crate::Gateway::place`].
#[derive(Debug)]
pub struct PlacementQuery<'a> {
    /// The service that the request was admitted to.
    pub service: &'a ServiceName,
    /// The shape of the prompt, for a request to a model.
    pub prompt: Option<&'a Prompt>,
    /// The accounts with which the request shares KV cache.
    pub cache_group: &'a CacheGroup,
    /// Runners that the request was already sent to.
    pub tried: &'a [RunnerKey],
    /// Whether the request may be sent again after a failure.
    pub repeatable: bool,
    /// The objective for the time to the first chunk of the response.
    pub objective: Duration,
    /// The urgency of the request at a runner, 0 first.
    pub urgency: u8,
    /// The software version that the runner has to have, for a stream that goes on.
    pub software: Option<&'a str>,
    /// A number that tells the request from others of this entry.
    pub request: u64,
    /// Which runners have room for the request.
    pub room: RoomRule,
}
