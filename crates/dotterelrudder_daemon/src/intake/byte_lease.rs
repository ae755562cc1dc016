//! The bytes that one request or response holds.

use std::sync::Arc;

use dotterelrudder_types::Refusal;
use tokio::sync::Notify;

use super::Grant;
use super::HoldingPhase;
use super::IntakeGate;

/// How a holding is ended when it is cut off.
pub(super) struct LeaseEnds {
    pub(super) phase: HoldingPhase,
    /// Notified when a body that is being received is refused.
    pub(super) cut: Arc<Notify>,
    /// Notified when the connection of a response is closed.
    pub(super) connection: Arc<Notify>,
}

struct Inner {
    gate: IntakeGate,
    id: u64,
    cut: Arc<Notify>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.gate.close(self.id);
    }
}

/// A holding of the byte budget; clones share it. Its bytes are released when the last clone is
/// dropped.
#[derive(Clone)]
pub struct ByteLease {
    inner: Arc<Inner>,
}

impl std::fmt::Debug for ByteLease {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ByteLease")
            .field("id", &self.inner.id)
            .finish()
    }
}

impl ByteLease {
    pub(super) fn new(gate: IntakeGate, id: u64, cut: Arc<Notify>) -> Self {
        Self {
            inner: Arc::new(Inner { gate, id, cut }),
        }
    }

    /// Changes the number of bytes, and waits for room if the budget is exhausted.
    ///
    /// # Errors
    ///
    /// Returns a refusal when there is no room in time.
    pub async fn resize(&self, bytes: usize) -> Result<(), Refusal> {
        self.inner.gate.resize(self.inner.id, bytes).await
    }

    /// Changes the number of bytes if there is room at once; returns whether there was. If not, the
    /// holding that is longest without progress is cut off.
    pub fn resize_or_cut(&self, bytes: usize) -> bool {
        let gate = &self.inner.gate;
        let granted = gate.try_resize(self.inner.id, bytes) == Grant::Granted;
        if !granted {
            gate.cut_stalled("others wait for its memory");
        }
        granted
    }

    /// Reduces the number of bytes.
    pub fn shrink(&self, bytes: usize) {
        self.inner.gate.shrink(self.inner.id, bytes);
    }

    /// Records that the peer made progress.
    pub fn progress(&self) {
        self.inner.gate.progress(self.inner.id);
    }

    /// Records what the bytes are held for from now on.
    pub fn set_phase(&self, phase: HoldingPhase) {
        self.inner.gate.set_phase(self.inner.id, phase);
    }

    /// Waits until the holding is cut off.
    pub async fn cut(&self) {
        self.inner.cut.notified().await;
    }
}
