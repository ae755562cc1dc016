//! The software versions of streams that began a short time ago, kept for entries in memory. Callers
//! take a stream up again at any entry, also after the one that served it was lost; see
//! docs/design/software-versions.md.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use dotterelrudder_wire::StreamKey;
use dotterelrudder_wire::StreamOrigin;

/// How long the origin of a stream is kept: several times the time limits of routes, since callers
/// take a stream up within theirs.
const ORIGIN_TTL: Duration = Duration::from_secs(60);
/// The largest number of origins that are kept; above it, the oldest ones are removed.
const MAX_ORIGINS: usize = 400_000;

/// The origins of streams that this control instance was told.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<StreamKey, u16>,
    /// The distinct origins, which are few; an entry of `origins` is an index into them.
    kinds: Vec<StreamOrigin>,
    /// The keys in the order of their arrival.
    arrived: VecDeque<(Duration, StreamKey)>,
}

impl StreamOrigins {
    /// Keeps the origins of streams.
    pub fn record(&mut self, now: Duration, streams: Vec<(StreamKey, StreamOrigin)>) {
        for (key, origin) in streams {
            let Some(kind) = self.kind_of(origin) else {
                continue;
            };
            // A stream has one origin, whoever reports it again.
            if let std::collections::hash_map::Entry::Vacant(vacant) = self.origins.entry(key) {
                vacant.insert(kind);
                self.arrived.push_back((now, key));
            }
        }
        self.remove_expired(now);
    }

    /// Returns the origin of a stream, if it is kept.
    pub fn find(&self, key: StreamKey) -> Option<&StreamOrigin> {
        self.kinds.get(usize::from(*self.origins.get(&key)?))
    }

    /// Returns the index of an origin; none if there are too many different ones.
    fn kind_of(&mut self, origin: StreamOrigin) -> Option<u16> {
        let index = self.kinds.iter().position(|k| *k == origin);
        let index = index.unwrap_or_else(|| {
            self.kinds.push(origin);
            self.kinds.len() - 1
        });
        u16::try_from(index).ok()
    }

    fn remove_expired(&mut self, now: Duration) {
        while let Some((at, key)) = self.arrived.front() {
            if now < *at + ORIGIN_TTL && self.arrived.len() <= MAX_ORIGINS {
                return;
            }
            self.origins.remove(key);
            self.arrived.pop_front();
        }
        self.kinds.clear();
    }
}
