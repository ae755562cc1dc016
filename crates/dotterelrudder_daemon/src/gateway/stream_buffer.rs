//! The events that are buffered for the caller of a stream.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::request_intake::RequestIntake;
use crate::intake::ByteLease;
use crate::intake::HoldingPhase;

/// Buffered bytes of one stream that are not counted, so that a caller who reads costs nothing.
const FREE_BYTES: usize = 4 * 1024;
/// How often a stream whose events do not fit into the byte budget looks whether its caller read some.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Sends events to a caller. What the caller has not read yet is counted by the byte budget; while that
/// has no room, the runner's stream is not read further.
pub(super) struct StreamBuffer<'a> {
    tx: &'a mpsc::Sender<Bytes>,
    intake: &'a RequestIntake,
    /// The sizes of the events in the channel, oldest first.
    sizes: VecDeque<usize>,
    bytes: usize,
    /// Counts the events while the caller lags behind.
    lease: Option<ByteLease>,
}

impl<'a> StreamBuffer<'a> {
    pub(super) fn new(tx: &'a mpsc::Sender<Bytes>, intake: &'a RequestIntake) -> Self {
        Self {
            tx,
            intake,
            sizes: VecDeque::new(),
            bytes: 0,
            lease: None,
        }
    }

    /// Sends an event. Returns whether the caller is still connected.
    pub(super) async fn send(&mut self, event: &Bytes) -> bool {
        self.settle();
        while !self.has_room(event.len()) {
            if self.tx.is_closed() {
                return false;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
            self.settle();
        }
        // An event refers to the buffer that it was received in, which may be much larger.
        let bytes = match self.sizes.is_empty() {
            true => event.clone(),
            false => Bytes::copy_from_slice(event),
        };
        let sent = self.tx.send(bytes).await.is_ok();
        self.sizes.push_back(event.len());
        self.bytes += event.len();
        sent
    }

    /// Subtracts the events that the caller's connection has taken.
    fn settle(&mut self) {
        let buffered = self.tx.max_capacity() - self.tx.capacity();
        let before = self.sizes.len();
        while self.sizes.len() > buffered {
            self.bytes -= self.sizes.pop_front().unwrap_or(0);
        }
        if self.sizes.len() == before {
            return;
        }
        if self.bytes <= FREE_BYTES {
            self.lease = None;
        }
        if let Some(lease) = &self.lease {
            lease.progress();
            lease.shrink(self.bytes);
        }
    }

    /// Returns whether an event fits into the byte budget, and counts it if it does.
    fn has_room(&mut self, event: usize) -> bool {
        let bytes = self.bytes + event;
        if bytes <= FREE_BYTES {
            return true;
        }
        let open = || self.intake.open(HoldingPhase::Answering);
        self.lease.get_or_insert_with(open).resize_or_cut(bytes)
    }
}
