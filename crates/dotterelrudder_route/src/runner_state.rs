//! What an entry knows of one backend server through its side.

use std::collections::HashSet;
use std::time::Duration;

use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::LoadReport;

/// Failures in a row after which a runner gets no work for a while.
const EJECT_AFTER_FAILURES: u32 = 3;
/// The first pause of an ejected runner; each further one is twice as long.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
/// The longest pause, as a power of two of the first one.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// One backend server as seen from an entry.
#[derive(Debug, Clone)]
pub struct RunnerState {
    /// The side beside it.
    pub name: InstanceName,
    /// The random number that the side drew when it started.
    pub incarnation: u64,
    /// Whether a connection to the side is open.
    pub connected: bool,
    /// Whether the side announced that it leaves.
    pub leaving: bool,
    /// Whether the platform's list shows the side as leaving.
    pub listed_leaving: bool,
    /// The last load reported.
    pub load: LoadReport,
    /// Attempts handed to the side since that report.
    pub attempts_since_report: u32,
    /// Tokens to prefill of those attempts.
    pub prefill_tokens_since_report: u32,
    /// Blocks that the backend server holds, as a hint.
    pub blocks: HashSet<BlockKey>,
    /// The number of the last change of `blocks`.
    pub blocks_sequence: u64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Duration,
}

impl RunnerState {
    /// Starts with nothing known but the name.
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

    /// Returns whether new work may go there at all.
    pub fn is_available(&self, now: Duration) -> bool {
        self.connected && !self.leaving && !self.listed_leaving && now >= self.ejected_until
    }

    /// Notes an answer.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejections = 0;
    }

    /// Notes a failed run, which after several in a row means a pause.
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
