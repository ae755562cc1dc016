//! A runner's load as the leader passes it on to entries.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::RunnerLoad;
use super::RunnerTraits;

/// A load of which only what changes from report to report is always told: every entry is told the
/// loads of all runners several times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadNews {
    /// Where the runner listens.
    pub address: SocketAddr,
    /// Whether the runner answered its side lately.
    pub answers: bool,
    /// Whether the runner takes no new work.
    pub leaving: bool,
    /// Whether the runner carries an order out, or is about to.
    pub loading: bool,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Tokens of KV cache that can't yield.
    pub used_tokens: u64,
    /// What rarely changes, unless it is as told last.
    pub traits: Option<Box<RunnerTraits>>,
}

impl LoadNews {
    /// Tells a load, with what rarely changes or without.
    pub fn of(load: &RunnerLoad, with_traits: bool) -> Self {
        Self {
            address: load.address,
            answers: load.answers,
            leaving: load.leaving,
            loading: load.loading,
            waiting: load.waiting,
            running: load.running,
            used_tokens: load.used_tokens,
            traits: with_traits.then(|| Box::new(RunnerTraits::of(load))),
        }
    }

    /// Returns the load, given what rarely changes.
    pub fn with(self, traits: &RunnerTraits) -> RunnerLoad {
        RunnerLoad {
            address: self.address,
            born_ms: traits.born_ms,
            answers: self.answers,
            leaving: self.leaving,
            loading: self.loading,
            waiting: self.waiting,
            running: self.running,
            used_tokens: self.used_tokens,
            total_tokens: traits.total_tokens,
            weights: traits.weights.clone(),
        }
    }
}
