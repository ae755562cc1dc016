//! A route of a deployment configuration: match, targets, time limit and objectives.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use super::CallKind;
use super::WeightedTarget;

/// Which requests go to which services, and how they are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The route's name, as faults and log lines show it.
    pub name: CompactString,
    /// The host that a request must name to match.
    pub host: CompactString,
    /// The prefix of a matching request's path, with a slash at both ends.
    pub path_prefix: CompactString,
    /// Whether requests may be retried, and whether responses are streams.
    pub kind: CallKind,
    /// The longest time from a request to the end of its response.
    pub time_limit: Duration,
    /// The latency objective for the first part of a response.
    pub objective: Duration,
    /// The priority of the route's requests, 0 being the most urgent.
    pub rank: u8,
    /// The services that share the route's requests by weight.
    pub targets: Vec<WeightedTarget>,
    /// The most backend servers to which one request may be sent.
    pub max_runners: u32,
    /// Whether a request needs a client account's key.
    pub needs_key: bool,
    /// The latency objective for the pause between two events of a stream.
    pub pause_objective: Option<Duration>,
}
