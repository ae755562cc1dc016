//! Declaration of one service: its kind, weights, stores, queue limit and partition policy.

use compact_str::CompactString;
use dotterelrudder_types::ServiceName;
use dotterelrudder_types::WeightVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::Objective;
use crate::ServiceKind;

/// What a process does while it is cut off from every peer with a fresh configuration.
///
/// docs/design/dissemination.md compares the policies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PartitionPolicy {
    /// Continues to serve with the last confirmed configuration.
    Serve,
    /// Refuses new requests, with the outcome that they were not run.
    Refuse,
}

/// One service as operators declare it in a `[service]` table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDeclaration {
    /// The service's name, unique in the deployment.
    pub name: ServiceName,
    /// The kind of its backend servers.
    pub kind: ServiceKind,
    /// The model's name; empty unless the kind is `model`.
    pub model: CompactString,
    /// The weight version to serve; empty unless the kind is `model`.
    pub weight_version: WeightVersion,
    /// Whether the engines themselves refuse orders with an outdated fencing number.
    pub engine_fencing: bool,
    /// The path prefix that callers use; empty unless the kind is `plain`.
    pub path_prefix: CompactString,
    /// Path prefixes whose requests must run at most once and so may not be retried.
    pub not_repeatable: Vec<CompactString>,
    /// Weights of the cost function by which runners are selected.
    pub objective: Objective,
    /// The stores in which this service's KV cache is saved.
    pub stores: Vec<ServiceName>,
    /// Requests that may wait at one backend server; further requests are refused.
    pub queue_limit: u32,
    /// Percent of a store that blocks of trial accounts may fill.
    pub trial_store_percent: u8,
    /// What a process does while it is cut off from fresh configuration.
    pub island: PartitionPolicy,
}
