//! The origins of streams that began at this entry, until control instances are told.

use dotterelrudder_types::ClientAccount;
use dotterelrudder_wire::StreamKey;
use dotterelrudder_wire::StreamOrigin;

/// The largest number of streams between two reports; what exceeds it is not taken up again.
const MAX_STREAMS: usize = 8_192;

/// Returns the key of a stream that a client account began with this request.
pub fn stream_key(account: Option<&ClientAccount>, request: &str) -> StreamKey {
    let account = account.map_or("", |a| a.as_str());
    crate::rendezvous_score(account, request)
}

/// Streams that began since the last report.
#[derive(Debug, Default)]
pub struct StreamOriginReports {
    streams: Vec<(StreamKey, StreamOrigin)>,
}

impl StreamOriginReports {
    /// Adds a stream.
    pub fn add(&mut self, key: StreamKey, origin: StreamOrigin) {
        if self.streams.len() < MAX_STREAMS {
            self.streams.push((key, origin));
        }
    }

    /// Returns the streams since the last call, and clears them.
    pub fn take(&mut self) -> Vec<(StreamKey, StreamOrigin)> {
        std::mem::take(&mut self.streams)
    }
}
