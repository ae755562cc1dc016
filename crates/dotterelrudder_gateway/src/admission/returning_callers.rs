//! Callers that were refused with a time after which they may return.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

/// How long after the stated time a caller is still recognised. A caller returns at the stated time or
/// earlier, and over the network.
const RETURN_TOLERANCE: Duration = Duration::from_millis(2_000);
/// The number of refused callers that are remembered at most. The oldest are forgotten beyond it, which
/// costs them their place.
const MAX_CALLERS: usize = 4_096;

/// Requests that were refused lately, by the hashes of their accounts and ids: callers choose the ids,
/// which may be long.
#[derive(Debug, Default)]
pub struct ReturningCallers {
    /// When each request first arrived, and until when its return is expected.
    refused: HashMap<u64, (Duration, Duration)>,
}

impl ReturningCallers {
    /// Records the refusal of a request that first arrived at `arrived`.
    pub fn refused(
        &mut self,
        now: Duration,
        (account, id): (&str, &str),
        arrived: Duration,
        retry_after: Duration,
    ) {
        if self.refused.len() >= MAX_CALLERS {
            self.refused.retain(|_, (_, until)| *until >= now);
        }
        if self.refused.len() >= MAX_CALLERS {
            let oldest = self.refused.iter().min_by_key(|(_, (arrived, _))| *arrived);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.and_then(|key| self.refused.remove(&key));
        }
        let until = now + retry_after + RETURN_TOLERANCE;
        self.refused.insert(key_of(account, id), (arrived, until));
    }

    /// Returns when a request first arrived if it was refused before, and forgets it.
    pub fn take(&mut self, now: Duration, account: &str, id: &str) -> Option<Duration> {
        let (arrived, until) = self.refused.remove(&key_of(account, id))?;
        (now <= until).then_some(arrived)
    }
}

/// Returns the key of a request.
fn key_of(account: &str, id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (account, id).hash(&mut hasher);
    hasher.finish()
}
