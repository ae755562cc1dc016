//! The byte budget as all requests of a process share it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use slog::warn;
use slog::Logger;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::byte_lease::LeaseEnds;
use super::ByteBudget;
use super::ByteLease;
use super::Grant;
use super::HoldingPhase;
use super::IntakeLimits;
use super::MachineLimits;
use crate::metrics::Metrics;

/// How often a request that waits for bytes looks for a holding to cut off.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Counts and logs refusals of peers.
#[derive(Debug, Clone)]
struct Report {
    metrics: Metrics,
    log: Logger,
}

struct State {
    budget: ByteBudget,
    /// How each open holding is ended, by its id.
    ends: HashMap<u64, LeaseEnds>,
    /// Requests that wait for bytes.
    waiting: usize,
}

struct Inner {
    state: Mutex<State>,
    limits: IntakeLimits,
    began: Instant,
    /// Notified when bytes were released.
    released: Notify,
    report: Option<Report>,
}

/// The byte budget of a process; clones share it.
#[derive(Clone)]
pub struct IntakeGate {
    inner: Arc<Inner>,
}

impl std::fmt::Debug for IntakeGate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut debug = f.debug_struct("IntakeGate");
        debug.field("limits", &self.inner.limits).finish()
    }
}

/// Counts a request that waits for bytes while it exists.
struct Waiting<'a> {
    gate: &'a IntakeGate,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gate.state().waiting -= 1;
    }
}

impl IntakeGate {
    /// Builds the gate of a process that counts and logs its refusals.
    pub fn new(machine: MachineLimits, metrics: Metrics, log: Logger) -> Self {
        Self::build(machine, Some(Report { metrics, log }))
    }

    /// Builds a gate with the limits of this machine that counts and logs nothing.
    pub fn of_machine() -> Self {
        Self::build(MachineLimits::new(None, None), None)
    }

    fn build(machine: MachineLimits, report: Option<Report>) -> Self {
        let limits = IntakeLimits::of(machine);
        let inner = Inner {
            state: Mutex::new(State {
                budget: ByteBudget::new(limits),
                ends: HashMap::new(),
                waiting: 0,
            }),
            limits,
            began: Instant::now(),
            released: Notify::new(),
            report,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the limits.
    pub fn limits(&self) -> IntakeLimits {
        self.inner.limits
    }

    pub(super) fn now(&self) -> Duration {
        self.inner.began.elapsed()
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.state().budget.held()
    }

    /// Opens a holding without bytes for an account; `connection` is closed if its peer does not read a
    /// response.
    pub fn open(&self, account: &str, phase: HoldingPhase, connection: Arc<Notify>) -> ByteLease {
        let cut = Arc::new(Notify::new());
        let ends = LeaseEnds {
            phase,
            cut: cut.clone(),
            connection,
        };
        let now = self.now();
        let mut state = self.state();
        let id = state.budget.open(now, account, phase);
        state.ends.insert(id, ends);
        drop(state);
        ByteLease::new(self.clone(), id, cut)
    }

    pub(super) fn close(&self, id: u64) {
        let now = self.now();
        let mut state = self.state();
        state.ends.remove(&id);
        state.budget.close(now, id);
        self.notify_released(state);
    }

    pub(super) fn progress(&self, id: u64) {
        let now = self.now();
        self.state().budget.progress(now, id);
    }

    pub(super) fn set_phase(&self, id: u64, phase: HoldingPhase) {
        let now = self.now();
        let mut state = self.state();
        state.budget.set_phase(now, id, phase);
        if let Some(ends) = state.ends.get_mut(&id) {
            ends.phase = phase;
        }
    }

    /// Changes the size of a holding if the budget has room.
    pub(super) fn try_resize(&self, id: u64, bytes: usize) -> Grant {
        let now = self.now();
        self.state().budget.resize(now, id, bytes)
    }

    /// Shrinks a holding.
    pub(super) fn shrink(&self, id: u64, bytes: usize) {
        let now = self.now();
        let mut state = self.state();
        let _granted = state.budget.resize(now, id, bytes);
        self.notify_released(state);
    }

    /// Wakes the requests that wait for bytes, if there are any.
    fn notify_released(&self, state: MutexGuard<'_, State>) {
        let is_awaited = state.waiting > 0;
        drop(state);
        if is_awaited {
            self.inner.released.notify_waiters();
        }
    }

    /// Changes the size of a holding, and waits for room if the budget is exhausted.
    ///
    /// # Errors
    ///
    /// Returns a refusal when there is no room in time.
    pub(super) async fn resize(&self, id: u64, bytes: usize) -> Result<(), Refusal> {
        if self.try_resize(id, bytes) == Grant::Granted {
            return Ok(());
        }
        let began = self.now();
        self.state().waiting += 1;
        let _waiting = Waiting { gate: self };
        loop {
            let released = self.inner.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            if self.try_resize(id, bytes) == Grant::Granted {
                return Ok(());
            }
            self.cut_stalled("others wait for its memory");
            let waited = self.now().saturating_sub(began);
            if waited >= IntakeLimits::MAX_WAIT {
                self.report_refusal("bytes", "the memory for bodies and responses is exhausted");
                let detail = "the memory for requests is exhausted";
                return Err(Refusal::new(ErrorKind::Overloaded, detail));
            }
            // Whether bytes were released or not, the next iteration tries again.
            let _released = timeout(RETRY_INTERVAL, released).await.is_ok();
        }
    }

    /// Cuts off the holding that is longest without progress, and returns whether there is one.
    pub(super) fn cut_stalled(&self, reason: &'static str) -> bool {
        let now = self.now();
        let mut state = self.state();
        let Some(id) = state.budget.cut(now) else {
            return false;
        };
        let Some(ends) = state.ends.get(&id) else {
            return false;
        };
        let kind = if ends.phase == HoldingPhase::Answering {
            ends.connection.notify_one();
            "unread_response"
        } else {
            ends.cut.notify_one();
            "stalled_body"
        };
        // The report reads the state.
        drop(state);
        self.report_refusal(kind, reason);
        true
    }

    /// Counts and logs a peer that was refused or closed. `kind` is of a closed list.
    pub(super) fn report_refusal(&self, kind: &'static str, reason: &'static str) {
        if let Some(report) = &self.inner.report {
            report.metrics.count_intake_refusal(kind);
            warn!(report.log, "peer refused"; "kind" => kind, "reason" => reason,
                "held_bytes" => self.inner.limits.bytes.min(self.held()));
        }
    }

    /// Updates the gauge of held bytes.
    pub fn update_metrics(&self) {
        if let Some(report) = &self.inner.report {
            report.metrics.set_held_bytes(self.held());
        }
    }

    /// Updates the gauge of open connections at a port.
    pub(super) fn set_connections(&self, port: &'static str, connections: usize) {
        if let Some(report) = &self.inner.report {
            report.metrics.set_caller_connections(port, connections);
        }
    }
}
