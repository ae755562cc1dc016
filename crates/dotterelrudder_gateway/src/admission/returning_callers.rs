//! Callers that were refused with a time after which they may return.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

/// How long after the stated time a caller is still recognised. A caller returns at the stated time or
/// earlier, and over the network.
const RETURN_TOLERANCE: Duration = Duration::from_millis(2_000);
/// The number of refused callers that are remembered at most. The oldest are forgotten beyond it, which
/// costs them their place.
const MAX_CALLERS: usize = 4_096;

/// Requests that were refused lately, by their ids.
#[derive(Debug, Default)]
pub struct ReturningCallers {
    /// When each request first arrived, and until when its return is expected.
    refused: HashMap<CompactString, (Duration, Duration)>,
}

impl ReturningCallers {
    /// Records the refusal of a request that first arrived at `arrived`.
    pub fn refused(&mut self, now: Duration, id: &str, arrived: Duration, retry_after: Duration) {
        if self.refused.len() >= MAX_CALLERS {
            self.refused.retain(|_, (_, until)| *until >= now);
        }
        if self.refused.len() >= MAX_CALLERS {
            let oldest = self.refused.iter().min_by_key(|(_, (arrived, _))| *arrived);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.refused.remove(&id));
        }
        let until = now + retry_after + RETURN_TOLERANCE;
        self.refused.insert(id.into(), (arrived, until));
    }

    /// Returns when a request first arrived if it was refused before, and forgets it.
    pub fn take(&mut self, now: Duration, id: &str) -> Option<Duration> {
        let (arrived, until) = self.refused.remove(id)?;
        (now <= until).then_some(arrived)
    }
}
