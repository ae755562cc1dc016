//! Why an event can't be part of a stream.

/// What is wrong with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventFault {
    /// A line is no field of an event, such as the head of an error.
    UnknownField,
    /// Two events are joined.
    SeveralIds,
    /// The events before it had ids, and it has none.
    NoId,
    /// Its id doesn't exceed the one before: the event came before, or the stream began again.
    NotIncreasing,
}

impl EventFault {
    /// Describes the fault for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownField => "the stream holds a line that is no field of an event",
            Self::SeveralIds => "an event of the stream has several ids",
            Self::NoId => "an event of the stream has no id",
            Self::NotIncreasing => "the ids of the stream's events don't increase",
        }
    }
}
