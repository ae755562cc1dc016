//! Checks that an event belongs to the caller's stream.
//!
//! Load pattern: a stream breaks off, and something else follows on its connection or from the next
//! runner: the head and the text of an error, or the stream from its beginning. A runner's framing
//! doesn't show it, but the lines and the ids of events do.

use crate::EventFault;
use crate::StreamEvent;

/// The fields of events in every stream; a line that begins with a colon is a comment.
const FIELDS: &[&[u8]] = &[b"id", b"data", b"event", b"retry"];

/// The id of the last event that was relayed, which every further one must exceed.
#[derive(Debug, Clone, Default)]
pub struct EventSequence {
    /// Whether an event had an id.
    has_ids: bool,
    /// The id of the last event, if it is a number.
    last: Option<u64>,
    /// Further fields that events may have.
    more_fields: &'static [&'static str],
}

impl EventSequence {
    /// Starts behind the last event that the caller has. `more_fields` are fields of events that the
    /// runners of a platform add.
    pub fn after(last_event: Option<&str>, more_fields: &'static [&'static str]) -> Self {
        Self {
            has_ids: last_event.is_some(),
            last: last_event.and_then(|id| id.parse().ok()),
            more_fields,
        }
    }

    /// Takes the next event.
    ///
    /// # Errors
    ///
    /// Returns why the event can't be part of the stream; it must not be relayed.
    pub fn accept(&mut self, event: &StreamEvent) -> Result<(), EventFault> {
        let mut ids = 0;
        for line in event.bytes.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() || line.starts_with(b":") {
                continue;
            }
            let field = line.split(|b| *b == b':').next().unwrap_or(line);
            if !self.is_field(field) {
                return Err(EventFault::UnknownField);
            }
            ids += usize::from(field == b"id");
        }
        if ids > 1 {
            return Err(EventFault::SeveralIds);
        }
        let Some(id) = &event.id else {
            let lacks_id = self.has_ids && event.is_progress();
            return if lacks_id {
                Err(EventFault::NoId)
            } else {
                Ok(())
            };
        };
        let number = id.parse().ok();
        if self.last.is_some() && number <= self.last {
            return Err(EventFault::NotIncreasing);
        }
        self.has_ids = true;
        self.last = number;
        Ok(())
    }

    fn is_field(&self, field: &[u8]) -> bool {
        let mut more = self.more_fields.iter().map(|f| f.as_bytes());
        FIELDS.contains(&field) || more.any(|f| f == field)
    }
}
