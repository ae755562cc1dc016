//! How the events of a stream are checked, counted and continued.
//!
//! Load pattern: runners break off or fall silent in the middle of their streams, and another one
//! goes on after the last event that the caller received.

mod event_fault;
mod event_sequence;
mod event_splitter;
mod stream_origin_reports;
mod stream_position;
mod stream_progress;

pub use event_fault::EventFault;
pub use event_sequence::EventSequence;
pub use event_splitter::EventSplitter;
pub use event_splitter::StreamEvent;
pub use stream_origin_reports::stream_key;
pub use stream_origin_reports::StreamOriginReports;
pub use stream_position::StreamPosition;
pub use stream_progress::StreamProgress;
