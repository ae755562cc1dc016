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
