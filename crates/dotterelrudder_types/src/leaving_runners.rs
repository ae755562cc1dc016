//! The backend servers that stated that they are leaving.

use std::collections::HashSet;
use std::collections::VecDeque;

use crate::LeavingRunner;

/// The largest number of servers that are remembered. A server is listed for at most some minutes after
/// it began to leave, and the largest deployments have some hundred servers.
const MAX_RUNNERS: usize = 512;

/// The starts of servers that are leaving. None is removed but the oldest one when there are too many:
/// a server never returns under the same identity and start time.
#[derive(Debug, Clone, Default)]
pub struct LeavingRunners {
    known: HashSet<LeavingRunner>,
    /// The same, oldest first.
    by_age: VecDeque<LeavingRunner>,
}

impl LeavingRunners {
    /// Adds a server. Returns whether it was not known.
    pub fn add(&mut self, runner: LeavingRunner) -> bool {
        if !self.known.insert(runner.clone()) {
            return false;
        }
        self.by_age.push_back(runner);
        if self.by_age.len() > MAX_RUNNERS {
            if let Some(oldest) = self.by_age.pop_front() {
                self.known.remove(&oldest);
            }
        }
        true
    }

    /// Returns whether a server is known to be leaving.
    pub fn contains(&self, runner: &LeavingRunner) -> bool {
        self.known.contains(runner)
    }

    /// Returns all servers, oldest first.
    pub fn all(&self) -> Vec<LeavingRunner> {
        self.by_age.iter().cloned().collect()
    }
}
