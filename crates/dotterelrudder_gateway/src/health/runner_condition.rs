//! The condition of a runner as an entry sees it.

/// Whether a runner takes requests, and if not, why. If several conditions apply, the entry uses
/// the first in this order: leaving, evacuated, unresponsive, in cooldown, loading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunnerCondition {
    /// The runner takes requests.
    Open,
    /// The runner loads weights.
    Loading,
    /// The runner is in cooldown: it was ejected after failures, was full or misdirected, or
    /// requested a backoff.
    InCooldown,
    /// The runner's side reports that the runner does not answer.
    Unresponsive,
    /// The runner is leaving, or is no longer listed.
    Leaving,
    /// The runner's data centre is evacuated.
    Evacuated,
}

impl RunnerCondition {
    /// All conditions, in the order of their declaration.
    pub const ALL: [Self; 6] = [
        Self::Open,
        Self::Loading,
        Self::InCooldown,
        Self::Unresponsive,
        Self::Leaving,
        Self::Evacuated,
    ];

    /// Returns the label used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Loading => "loading",
            Self::InCooldown => "spared",
            Self::Unresponsive => "silent",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
        }
    }
}
