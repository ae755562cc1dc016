//! Outcome of an attempt at a runner.

/// The outcome of an attempt, as far as it concerns the runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The runner answered.
    Answered,
    /// The runner is full or leaving and did not run the request.
    Shed,
    /// The address belongs to another start of a backend server, or the weights changed.
    Misdirected,
    /// No connection could be opened, or the connection stopped responding.
    Unreachable,
    /// The connection broke, or the response was damaged or late.
    Failed,
    /// The caller disconnected, or the attempt was cancelled through no fault of the runner.
    Abandoned,
}

impl RunOutcome {
    /// Returns the label used in metrics.
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
