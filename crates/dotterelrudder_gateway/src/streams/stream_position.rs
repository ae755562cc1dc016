//! What a caller has received of its stream, which decides where another run may begin.
//!
//! Load pattern: a faulty runner writes text where its events are expected, and breaks off. A run that
//! begins behind text which no id covers would be joined with it into an answer that no runner gave.

use compact_str::CompactString;

use crate::StreamEvent;

/// The part of a stream that was handed to the caller. Blocks that clients ignore, such as comments,
/// don't count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamPosition {
    /// Nothing, so that another run may begin anywhere that the caller asked for.
    Start,
    /// All events up to the one with this id.
    After(CompactString),
    /// Events that no id covers: no other run can go on behind them.
    Uncovered,
}

impl StreamPosition {
    /// Returns the position of a caller that has received nothing in this response. `resume_after` is
    /// the last event that it received before.
    pub fn new(resume_after: Option<CompactString>) -> Self {
        resume_after.map_or(Self::Start, Self::After)
    }

    /// Records an event that is handed to the caller. Only ids that are numbers show whether the next
    /// run goes on behind the event, or begins again.
    pub fn record(&mut self, event: &StreamEvent) {
        if *self == Self::Uncovered || !event.is_progress() {
            return;
        }
        let id = event.id.as_ref().filter(|id| id.parse::<u64>().is_ok());
        *self = id.cloned().map_or(Self::Uncovered, Self::After);
    }

    /// Returns whether another run may go on from here.
    pub fn is_resumable(&self) -> bool {
        *self != Self::Uncovered
    }

    /// Returns the id of the event behind which another run goes on; none if it starts from the
    /// beginning.
    pub fn last_event(&self) -> Option<&CompactString> {
        match self {
            Self::After(id) => Some(id),
            Self::Start | Self::Uncovered => None,
        }
    }
}
