//! What an entry thinks of a runner, in one word.

/// What an entry thinks of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunnerCondition {
    /// It takes requests.
    Open,
    /// It loads weights.
    Loading,
    /// Own calls failed, or it was full: it is left alone for a while.
    InCooldown,
    /// Its side says that it doesn't answer.
    Unresponsive,
    /// It leaves, or isn't listed any more.
    Leaving,
}

impl RunnerCondition {
    /// All conditions, in the order of the declaration.
    pub const ALL: [Self; 5] = [
        Self::Open,
        Self::Loading,
        Self::InCooldown,
        Self::Unresponsive,
        Self::Leaving,
    ];

    /// Returns the word for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Loading => "loading",
            Self::InCooldown => "spared",
            Self::Unresponsive => "silent",
            Self::Leaving => "leaving",
        }
    }
}
