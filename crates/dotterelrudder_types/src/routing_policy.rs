//! The ways to choose a runner; all but the first are kept as baselines for measurements.

use serde::Deserialize;

/// How a runner is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPolicy {
    /// By the smallest expected cost, with import or recompute chosen for each request.
    #[default]
    ExpectedCost,
    /// In turn, without stores.
    RoundRobin,
    /// By the fewest attempts, without regard to what is cached where.
    LeastLoaded,
    /// By rendezvous hashing of the prompt's beginning alone.
    HashAffinity,
    /// By expected cost, importing every block that a store holds.
    AlwaysImport,
    /// By expected cost, never importing.
    AlwaysRecompute,
}

impl RoutingPolicy {
    /// All policies with their names in settings.
    pub const NAMES: [(&'static str, Self); 6] = [
        ("expected_cost", Self::ExpectedCost),
        ("round_robin", Self::RoundRobin),
        ("least_loaded", Self::LeastLoaded),
        ("hash_affinity", Self::HashAffinity),
        ("always_import", Self::AlwaysImport),
        ("always_recompute", Self::AlwaysRecompute),
    ];

    /// Finds the policy with a name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::NAMES
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, policy)| *policy)
    }
}
