//! The weight versions that were named for a model, and when.

use std::time::Duration;

/// Versions kept; runners that are further behind are outdated since the oldest of them.
const MAX_VERSIONS: usize = 16;

/// The versions named for one model, oldest first.
///
/// Each one sets its own time until which requests may begin on older weights, so that naming
/// another one soon after doesn't lengthen it.
#[derive(Debug, Clone, Default)]
pub struct NamedWeights {
    versions: Vec<(u64, Duration)>,
}

impl NamedWeights {
    /// Learns that a version was named; one that isn't newer changes nothing.
    pub fn add(&mut self, version: u64, now: Duration) {
        if version <= self.newest() {
            return;
        }
        self.versions.push((version, now));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.remove(1);
        }
    }

    /// Returns the newest version; 0 when none was named.
    pub fn newest(&self) -> u64 {
        self.versions.last().map_or(0, |(version, _)| *version)
    }

    /// Returns since when a newer version than `held` has been named.
    pub fn outdated_since(&self, held: u64) -> Option<Duration> {
        let newer = self.versions.iter().find(|(version, _)| *version > held);
        newer.map(|(_, at)| *at)
    }
}
