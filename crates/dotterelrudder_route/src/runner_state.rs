//! The state of one backend server at an entry: connection, load, cached blocks and ejection.

use std::collections::HashSet;
use std::time::Duration;

use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::LoadReport;

/// The number of consecutive failures after which a runner is ejected for a while.
const EJECT_AFTER_FAILURES: u32 = 3;
/// The duration of the first ejection of a runner; each further one is twice as long.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// The number of doublings after which the ejection time stops growing, at 32 s.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// The state of one backend server, as reported by its side and observed by the entry.
#[derive(Debug, Clone)]
pub struct RunnerState {
    /// The name of the side that runs next to the backend server.
    pub name: InstanceName,
    /// The random number that the side drew at its start; a new one means a restart.
    pub incarnation: u64,
    /// Whether a connection to the side is open.
    pub connected: bool,
    /// Whether the side reported that it is leaving.
    pub leaving: bool,
    /// Whether the platform's instance list shows the side as leaving.
    pub listed_leaving: bool,
    /// The last load report of the side.
    pub load: LoadReport,
    /// Attempts that this entry sent to the side since that report.
    pub attempts_since_report: u32,
    /// Tokens to prefill for the attempts sent since that report.
    pub prefill_tokens_since_report: u32,
    /// The blocks that the backend server holds. The set may be out of date and is only a hint.
    pub blocks: HashSet<BlockKey>,
    /// The sequence number of the last update of `blocks`.
    pub blocks_sequence: u64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Duration,
}

impl RunnerState {
    /// Creates the state of a side that has not connected yet.
    pub fn new(name: InstanceName) -> Self {
        Self {
            name,
            incarnation: 0,
            connected: false,
            leaving: false,
            listed_leaving: false,
            load: LoadReport::default(),
            attempts_since_report: 0,
            prefill_tokens_since_report: 0,
            blocks: HashSet::new(),
            blocks_sequence: 0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
        }
    }

    /// Returns whether the runner may get new work: connected, not leaving and not ejected.
    pub fn is_available(&self, now: Duration) -> bool {
        self.connected && !self.leaving && !self.listed_leaving && now >= self.ejected_until
    }

    /// Records a completed attempt, which resets the failure count and the ejection time.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejections = 0;
    }

    /// Records a failed attempt and ejects the runner after `EJECT_AFTER_FAILURES` in a row.
    pub fn record_failure(&mut self, now: Duration) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EJECT_AFTER_FAILURES {
            self.consecutive_failures = 0;
            self.ejected_until =
                now + BASE_EJECTION_TIME * (1 << self.ejections.min(MAX_EJECTION_DOUBLINGS));
            self.ejections += 1;
        }
    }
}
