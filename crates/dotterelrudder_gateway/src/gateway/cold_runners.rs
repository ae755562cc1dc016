//! Cold runners at an entry: what the leader announced, and runners that count as cold until it is known
//! that they are warm.
//!
//! Load pattern: runners crash and come back cold and empty, and each entry would send them its next
//! requests at once; see docs/design/cold-runners.md.

use super::Gateway;
use crate::RunnerKey;
use dotterelrudder_wire::RunnerWarmUps;
use dotterelrudder_wire::WarmUpUpdate;
use std::time::Duration;

impl Gateway {
    /// Applies the leader's announcement of cold runners. Returns the runners that became cold or warm
    /// by it, or whose rate changed.
    pub fn on_warm_ups(&mut self, now: Duration, warm_ups: RunnerWarmUps) -> Vec<WarmUpUpdate> {
        self.warm_ups = warm_ups.services.into_iter().collect();
        let mut changed = Vec::new();
        for update in warm_ups.runners {
            let until = now + Duration::from_millis(update.left_ms.into());
            if self
                .runners
                .announce_cold(now, &update.runner, update.rate, until)
            {
                changed.push(update);
            }
        }
        self.runners.end_other_warm_ups(&self.warm_ups);
        changed
    }

    /// Records that a runner refused a connection, or closed one before its answer began. If its service
    /// declares a warm-up, the runner counts as cold until it is known to be warm. Returns whether it
    /// counts as cold from now on and did not before.
    pub fn on_connection_lost(&mut self, now: Duration, runner: RunnerKey) -> bool {
        let service = self.runners.get(runner).map(|r| &r.record.service);
        let rate = service.and_then(|s| self.warm_ups.get(s)).copied();
        rate.is_some_and(|rate| self.runners.on_connection_lost(now, runner, rate))
    }

    /// Returns whether there are services whose runners warm up. [`Self::watch_for_pause`] has to be called
    /// regularly then.
    pub fn has_warm_ups(&self) -> bool {
        !self.warm_ups.is_empty()
    }

    /// Notices that this entry stood still. It may not know of runners that became cold meanwhile, which
    /// count as cold until the leader answers a query that is sent from now on.
    pub fn watch_for_pause(&mut self, now: Duration) -> bool {
        if self.warm_ups.is_empty() {
            return false;
        }
        let paused = self.pauses.is_after_pause(now);
        if paused {
            self.runners.on_pause(now, &self.warm_ups);
        }
        paused
    }

    /// Returns whether a runner is cold, or may be.
    pub fn is_cold(&self, runner: RunnerKey) -> bool {
        let runner = self.runners.get(runner);
        runner.is_some_and(|r| r.limit.cold_rate().is_some())
    }

    /// Returns the number of listed runners that are cold, or may be.
    pub fn cold_runners(&self) -> usize {
        let limited = self.runners.limited();
        limited.filter(|r| r.limit.cold_rate().is_some()).count()
    }

    /// Returns whether the slow start after a runner's return admits no further request now.
    pub(super) fn is_held_back(&self, runner: RunnerKey) -> bool {
        self.runners.get(runner).is_some_and(|r| r.is_held_back())
    }
}
