//! The origins of streams that began at this entry, to be reported to control instances. They are kept
//! for a while: a control instance that restarts or was cut off is told again, and callers that take a
//! stream up at the same entry need no control instance.

use std::collections::VecDeque;
use std::time::Duration;

use dotterelrudder_types::ClientAccount;
use dotterelrudder_wire::StreamKey;
use dotterelrudder_wire::StreamOrigin;

/// The largest number of streams between two reports; what exceeds it is not taken up again.
const MAX_STREAMS: usize = 8_192;
/// How long the origin of a stream is kept: several times the time limits of routes.
const KEPT_FOR: Duration = Duration::from_secs(60);
/// The largest number of origins that are kept; above it, the oldest ones are removed. It bounds what
/// a restarted control instance is sent at once.
const MAX_KEPT: usize = 4_096;

/// Returns the key of a stream that a client account began with this request.
pub fn stream_key(account: Option<&ClientAccount>, request: &str) -> StreamKey {
    let account = account.map_or("", |a| a.as_str());
    crate::rendezvous_score(account, request)
}

/// Streams that began at this entry.
#[derive(Debug, Default)]
pub struct StreamOriginReports {
    /// Those since the last report.
    unreported: Vec<(StreamKey, StreamOrigin)>,
    /// All that are kept, oldest first, with the time at which they began.
    kept: VecDeque<(Duration, StreamKey, StreamOrigin)>,
}

impl StreamOriginReports {
    /// Adds a stream.
    pub fn add(&mut self, now: Duration, key: StreamKey, origin: StreamOrigin) {
        if self.unreported.len() < MAX_STREAMS {
            self.unreported.push((key, origin.clone()));
        }
        self.kept.push_back((now, key, origin));
        self.remove_expired(now);
    }

    /// Returns the streams since the last call, and clears them.
    pub fn take(&mut self) -> Vec<(StreamKey, StreamOrigin)> {
        std::mem::take(&mut self.unreported)
    }

    /// Returns the origin of a stream that began at this entry, if it is kept.
    pub fn find(&self, key: StreamKey) -> Option<&StreamOrigin> {
        let mut newest_first = self.kept.iter().rev();
        newest_first.find_map(|(_, kept, origin)| (*kept == key).then_some(origin))
    }

    /// Returns all streams that are kept.
    pub fn kept(&mut self, now: Duration) -> Vec<(StreamKey, StreamOrigin)> {
        self.remove_expired(now);
        let kept = self.kept.iter();
        kept.map(|(_, key, origin)| (*key, origin.clone()))
            .collect()
    }

    fn remove_expired(&mut self, now: Duration) {
        while let Some((began, _, _)) = self.kept.front() {
            if now < *began + KEPT_FOR && self.kept.len() <= MAX_KEPT {
                return;
            }
            self.kept.pop_front();
        }
    }
}
