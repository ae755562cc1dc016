//! What an entry knows of one backend server through its side.

use std::collections::HashSet;
use std::time::Duration;

use dotterelrudder_types::BlockKey;
use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::LoadReport;

/// Failures in a row after which a runner gets no work for a while.
const EJECT_AFTER: u32 = 3;
/// The first pause of an ejected runner; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// The longest pause, as a power of two of the first one.
const MAX_PAUSE_DOUBLINGS: u32 = 5;

/// One backend server as seen from an entry.
#[derive(Debug, Clone)]
pub struct RunnerView {
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
    pub own_calls: u32,
    /// Tokens to prefill of those attempts.
    pub own_prefill: u32,
    /// Blocks that the backend server holds, as a hint.
    pub blocks: HashSet<BlockKey>,
    /// The number of the last change of `blocks`.
    pub sequence: u64,
    failures: u32,
    pauses: u32,
    paused_until: Duration,
}

impl RunnerView {
    /// Starts with nothing known but the name.
    pub fn new(name: InstanceName) -> Self {
        Self {
            name,
            incarnation: 0,
            connected: false,
            leaving: false,
            listed_leaving: false,
            load: LoadReport::default(),
            own_calls: 0,
            own_prefill: 0,
            blocks: HashSet::new(),
            sequence: 0,
            failures: 0,
            pauses: 0,
            paused_until: Duration::ZERO,
        }
    }

    /// Returns whether new work may go there at all.
    pub fn takes_work(&self, now: Duration) -> bool {
        self.connected && !self.leaving && !self.listed_leaving && now >= self.paused_until
    }

    /// Notes an answer.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.pauses = 0;
    }

    /// Notes a failed run, which after several in a row means a pause.
    pub fn failed(&mut self, now: Duration) {
        self.failures += 1;
        if self.failures >= EJECT_AFTER {
            self.failures = 0;
            self.paused_until = now + FIRST_PAUSE * (1 << self.pauses.min(MAX_PAUSE_DOUBLINGS));
            self.pauses += 1;
        }
    }
}
