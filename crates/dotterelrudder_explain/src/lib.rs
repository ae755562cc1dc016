//! The story of one request, from the log lines of all processes.
//!
//! Operators have logs alone. [`Story::read`] takes lines of any processes in any order, some of
//! them missing, cut or foreign, and keeps what tells about one request: the lines with its
//! identity, and what the processes concerned believed at that time. [`Expectations`] sets what
//! entries expected of runners against what they saw. Their `Display` is what `dotterelrudder
//! explain` and `dotterelrudder expectations` print; [docs/OPERATIONS.md](../../../docs/OPERATIONS.md) shows how to
//! read it.

mod event;
mod expectations;
mod story;

pub use event::Event;
pub use expectations::Expectations;
pub use story::Story;
