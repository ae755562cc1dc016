//! How an attempt at a runner ended.

/// What an attempt says about its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The runner answered.
    Answered,
    /// The runner is full or leaving and did not run the request.
    Shed,
    /// Another start of a server has the address, or the weights changed.
    Misdirected,
    /// No connection could be opened, or the connection went silent.
    Unreachable,
    /// The connection broke, or the answer was damaged or late.
    Failed,
    /// The caller left, or the attempt was given up for no fault of the runner.
    Abandoned,
}

impl RunOutcome {
    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Unreachable => "unreachable",
            Self::Failed => "failed",
            Self::Abandoned => "abandoned",
        }
    }
}
