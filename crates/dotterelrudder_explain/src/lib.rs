//! Reconstructs the events of one request from the log lines of all processes, for operators.
//!
//! Operators often have only logs. [`Story::read`] takes lines of any processes in any order, and
//! tolerates lines that are missing, truncated or written by other programs. It selects the lines
//! with the identity of one request, and the lines that show the state of the processes involved at
//! that time. [`Expectations`] compares the times to first token that entries predicted with those
//! that they measured. The commands `dotterelrudder explain` and `dotterelrudder expectations`
//! print the `Display` of these types; [docs/OPERATIONS.md](../../../docs/OPERATIONS.md) shows how
//! to read the output.

mod event;
mod expectations;
mod story;

pub use event::Event;
pub use expectations::Expectations;
pub use story::Story;
