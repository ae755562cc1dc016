//! The weight versions that were named for a model, and when. Control names a version to announce
//! that runners should serve it from then on.

use std::time::Duration;

/// The number of versions remembered; a runner that is further behind counts as outdated since the
/// oldest of them.
const MAX_VERSIONS: usize = 16;

/// The versions named for one model, oldest first.
///
/// Each version starts its own time limit for requests on older weights, so that naming another
/// version soon afterwards does not extend the first limit.
#[derive(Debug, Clone, Default)]
pub struct NamedWeights {
    versions: Vec<(u64, Duration)>,
}

impl NamedWeights {
    /// Records that a version was named. A version that is not newer than the last one is ignored.
    pub fn add(&mut self, version: u64, now: Duration) {
        if version <= self.newest() {
            return;
        }
        self.versions.push((version, now));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.remove(1);
        }
    }

    /// Returns the newest version; 0 if none was named.
    pub fn newest(&self) -> u64 {
        self.versions.last().map_or(0, |(version, _)| *version)
    }

    /// Returns when the first version newer than `held` was named.
    pub fn outdated_since(&self, held: u64) -> Option<Duration> {
        let newer = self.versions.iter().find(|(version, _)| *version > held);
        newer.map(|(_, at)| *at)
    }
}
