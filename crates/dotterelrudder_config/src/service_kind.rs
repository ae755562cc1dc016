//! The kinds of service.

use serde::Deserialize;
use serde::Serialize;

/// What the backend servers of a service are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, reached through the completions and chat endpoints.
    Model,
    /// Plain HTTP services, reached by path prefix.
    Plain,
    /// Stores of kept KV cache, reached by sides only.
    Store,
}
