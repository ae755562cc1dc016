//! When a change of members that is held back is worth a line in the log.

use std::time::Duration;

use dotterelrudder_control::ChangeBlocker;

/// How long a change of members is held back before it is logged. Longer than the round trips of a
/// change that nothing holds back.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// The blocker of the change of members that is due, and whether it was logged.
#[derive(Debug, Default)]
pub struct HeldChange {
    blocker: Option<ChangeBlocker>,
    since: Duration,
    reported: Option<ChangeBlocker>,
}

impl HeldChange {
    /// Records what a change that is due waits for now, `None` without one. Returns the blocker if it
    /// has lasted for a while and differs from the one returned last.
    pub fn update(
        &mut self,
        blocker: Option<ChangeBlocker>,
        now: Duration,
    ) -> Option<ChangeBlocker> {
        if blocker != self.blocker {
            self.blocker = blocker;
            self.since = now;
        }
        if now < self.since + REPORT_DELAY || self.blocker == self.reported {
            return None;
        }
        self.reported = self.blocker;
        self.blocker
    }
}
