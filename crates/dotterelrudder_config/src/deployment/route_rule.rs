//! A route in a whole configuration.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use super::CallKind;
use super::WeightedTarget;

/// Which requests go to which services, and how they are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The route's name.
    pub name: CompactString,
    /// The host that requests name.
    pub host: CompactString,
    /// The prefix of their path, with a slash at both ends.
    pub path_prefix: CompactString,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time that a request is kept waiting for its whole answer.
    pub time_limit: Duration,
    /// The time within which the first part of an answer is on time.
    pub objective: Duration,
    /// How urgent the route's requests are, 0 first.
    pub rank: u8,
    /// The services that take the requests.
    pub targets: Vec<WeightedTarget>,
    /// Backend servers to which one request may be sent.
    pub max_runners: u32,
    /// Whether a request needs a client account's key.
    pub needs_key: bool,
    /// The longest pause between two events of a stream that is still on time.
    pub pause_objective: Option<Duration>,
}
