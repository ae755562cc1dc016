//! The request limit in the head of a backend server's response.

/// What the head of a response states about the backend server's request limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum AnswerLimit {
    /// The head names no limit.
    #[default]
    Absent,
    /// The head names a limit that is not a decimal number; it says nothing about the limit.
    Malformed,
    /// The requests per second that the backend server takes from all entries together.
    Named(f64),
}
