//! Among which runners an entry chooses.
//!
//! Load pattern: many entries act on the same load reports, a few tenths of a second old. If each
//! takes the runner that looks best, all of them take the same one until the next report; at worst
//! load, when few have room, that is a burst on whichever had a little. So an entry chooses among
//! a few runners that it draws for a short while: what it sent to these it knows itself, and few
//! other entries choose among them in the meantime. A session's homes are always in sight.

use std::time::Duration;

/// How long a draw holds: about as long as a load report stays the newest one.
pub const CANDIDATE_SAMPLING_PERIOD: Duration = Duration::from_millis(200);
/// How many entries choose among the same runner on average, so that none goes unseen.
pub(crate) const ENTRIES_PER_RUNNER: f64 = 2.0;
/// Runners to choose among at least: with three the least loaded one is rarely a loaded one.
const MIN_CANDIDATES: usize = 3;

/// Runners with an open connection that are in sight beside the drawn ones.
pub(crate) const MAX_WARM_CANDIDATES: usize = 3;

/// Returns among how many of `runners` open runners one of `entries` entries chooses.
pub fn candidate_set_size(runners: usize, entries: u32) -> usize {
    let fair = runners as f64 * ENTRIES_PER_RUNNER / f64::from(entries.max(1));
    (fair.ceil() as usize).max(MIN_CANDIDATES).min(runners)
}
