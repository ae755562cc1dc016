//! The declaration of one service.

use compact_str::CompactString;
use dotterelrudder_types::ServiceName;
use dotterelrudder_types::WeightVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::Objective;
use crate::ServiceKind;

/// What a process cut off from every fresh peer does; weighed in docs/design/dissemination.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PartitionPolicy {
    /// It goes on with the last confirmed configuration.
    Serve,
    /// It refuses new work as not run.
    Refuse,
}

/// One service as its operators declare it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDeclaration {
    /// The service's name, unique in the deployment.
    pub name: ServiceName,
    /// What its backend servers are.
    pub kind: ServiceKind,
    /// The model's name; empty unless the kind is `model`.
    pub model: CompactString,
    /// The weight version to serve; empty unless the kind is `model`.
    pub weight_version: WeightVersion,
    /// Whether the engines refuse orders with an old fencing number themselves.
    pub engine_fencing: bool,
    /// The path prefix that callers use; empty unless the kind is `plain`.
    pub path_prefix: CompactString,
    /// Path prefixes whose requests may not be repeated.
    pub not_repeatable: Vec<CompactString>,
    /// Weights for choosing a runner.
    pub objective: Objective,
    /// The stores that keep this service's KV cache.
    pub stores: Vec<ServiceName>,
    /// Requests that wait at one backend server before new ones are refused.
    pub queue_limit: u32,
    /// Percent of a store that blocks of trial accounts may fill.
    pub trial_store_percent: u8,
    /// What a process cut off from fresh configuration does.
    pub island: PartitionPolicy,
}
