//! Lets one prefill run at a time, the most urgent first.

use std::collections::BTreeSet;
use std::sync::Mutex;

use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Waiting {
    busy: bool,
    queue: BTreeSet<(u8, u64)>,
    next: u64,
}

#[derive(Debug, Default)]
pub(crate) struct PrefillGate {
    waiting: Mutex<Waiting>,
    changed: Notify,
}

/// Held while a prefill runs, or waits for its turn.
#[derive(Debug)]
pub(crate) struct PrefillTurn<'a> {
    gate: &'a PrefillGate,
    place: (u8, u64),
    running: bool,
}

impl PrefillGate {
    fn lock(&self) -> std::sync::MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub(crate) async fn enter(&self, priority: u8) -> PrefillTurn<'_> {
        let place = {
            let mut waiting = self.lock();
            waiting.next += 1;
            let place = (priority, waiting.next);
            waiting.queue.insert(place);
            place
        };
        let mut turn = PrefillTurn {
            gate: self,
            place,
            running: false,
        };
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if turn.try_start() {
                return turn;
            }
            changed.await;
        }
    }
}

impl PrefillTurn<'_> {
    fn try_start(&mut self) -> bool {
        let mut waiting = self.gate.lock();
        let first = !waiting.busy && waiting.queue.first() == Some(&self.place);
        if first {
            waiting.queue.remove(&self.place);
            waiting.busy = true;
            self.running = true;
        }
        first
    }
}

impl Drop for PrefillTurn<'_> {
    fn drop(&mut self) {
        let mut waiting = self.gate.lock();
        if self.running {
            waiting.busy = false;
        } else {
            waiting.queue.remove(&self.place);
        }
        drop(waiting);
        self.gate.changed.notify_waiters();
    }
}
