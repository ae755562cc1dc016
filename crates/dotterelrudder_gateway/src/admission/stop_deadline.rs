//! What an entry still accepts between the signal to stop and the end of its process.

use std::time::Duration;

use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;

/// The time before the end of the process at which the last responses start, so that they are written
/// completely on slow connections too.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);
/// The time that a request needs at its runner, as a multiple of the route's objective. Callers wait
/// for four objectives, so that later responses are of no use to them.
const COMPLETION_OBJECTIVES: f64 = 4.0;
/// The delay until a request refused for a stop may be retried. Other entries can take it at once.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// The time by which an entry that is stopping has to respond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopDeadline {
    respond_by: Duration,
}

impl StopDeadline {
    /// Creates the deadline of a process that ends at `exit_at`.
    pub fn new(exit_at: Duration) -> Self {
        Self {
            respond_by: exit_at.saturating_sub(RESPONSE_MARGIN),
        }
    }

    /// Returns the time by which responses have to start.
    pub fn respond_by(&self) -> Duration {
        self.respond_by
    }

    /// Returns the deadline of a request that is read during the stop and has not been sent yet.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the caller would wait beyond the end of the process and the time left is
    /// too short for the request: it may be run at another entry instead.
    pub fn limit(
        &self,
        now: Duration,
        deadline: Duration,
        objective: Duration,
    ) -> Result<Duration, Refusal> {
        let needed = objective.mul_f64(COMPLETION_OBJECTIVES);
        if deadline > self.respond_by && now + needed > self.respond_by {
            return Err(self.refusal());
        }
        Ok(deadline.min(self.respond_by))
    }

    /// Builds the refusal of a request that has not been sent to a runner.
    pub fn refusal(&self) -> Refusal {
        let detail = "the entry is stopping and cannot complete the request";
        let mut refusal = Refusal::new(ErrorKind::Leaving, detail);
        refusal.retry_after = Some(RETRY_AFTER);
        refusal
    }
}
