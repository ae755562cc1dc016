//! The routing policies, by which an entry selects a runner. All but
//! [`RoutingPolicy::ExpectedCost`] are baselines for measurements.

use serde::Deserialize;

/// The policy by which an entry selects a runner for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicy {
    /// Selects the runner with the lowest expected cost, and for each request the cheaper of
    /// importing and recomputing KV cache.
    #[default]
    ExpectedCost,
    /// Selects the runners in turn, without using stores.
    RoundRobin,
    /// Selects the runner with the fewest attempts, regardless of the KV cache that it holds.
    LeastLoaded,
    /// Selects the runner by rendezvous hashing of the start of the prompt alone.
    HashAffinity,
    /// Selects by expected cost, and imports every block that a store holds.
    AlwaysImport,
    /// Selects by expected cost, and never imports.
    AlwaysRecompute,
}

impl RoutingPolicy {
    /// All policies with their names in the settings file.
    pub const NAMES: [(&'static str, Self); 6] = [
        ("expected_cost", Self::ExpectedCost),
        ("round_robin", Self::RoundRobin),
        ("least_loaded", Self::LeastLoaded),
        ("hash_affinity", Self::HashAffinity),
        ("always_import", Self::AlwaysImport),
        ("always_recompute", Self::AlwaysRecompute),
    ];

    /// Returns the policy with the given name, if there is one.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::NAMES
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, policy)| *policy)
    }
}
