//! Candidate set: the sample of runners that an entry selects from.
//!
//! Load pattern: many entries act on the same load reports, which are a few tenths of a second old.
//! If every entry chose the runner with the best report, all of them would choose the same one
//! until the next report. Near full load, when few runners have room, this sends a burst to
//! whichever had some. An entry therefore samples a few runners for a short time: it knows the load
//! that it sent to them itself, and few other entries use the same runners meanwhile. The preferred
//! runners of a session are always candidates.

use std::time::Duration;

/// How long a sample is used: about the time between two load reports.
pub const CANDIDATE_SAMPLING_PERIOD: Duration = Duration::from_millis(200);
/// The mean number of entries that have a runner in their sample; it is above 1 so that few runners
/// are in no sample.
pub(crate) const ENTRIES_PER_RUNNER: f64 = 2.0;
/// The smallest sample. Among three random runners, the least loaded one is rarely overloaded.
const MIN_CANDIDATES: usize = 3;

/// The number of runners with an open connection that are candidates in addition to the sample.
pub(crate) const MAX_WARM_CANDIDATES: usize = 3;

/// Returns the size of the sample that each of `entries` entries takes of `runners` open runners.
pub fn candidate_set_size(runners: usize, entries: u32) -> usize {
    let fair = runners as f64 * ENTRIES_PER_RUNNER / f64::from(entries.max(1));
    (fair.ceil() as usize).max(MIN_CANDIDATES).min(runners)
}
