//! The kinds of service: model engines, plain HTTP services and KV cache stores.

use serde::Deserialize;
use serde::Serialize;

/// The kind of a service's backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, reached through the completions and chat endpoints.
    Model,
    /// Plain HTTP services, reached by path prefix.
    Plain,
    /// KV cache stores, reached by sides only.
    Store,
}
