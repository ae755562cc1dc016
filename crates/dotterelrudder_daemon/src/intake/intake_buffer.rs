//! A buffer that grows within the byte budget.

use bytes::Bytes;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;

use super::ByteLease;
use super::HeldBytes;
use super::HoldingPhase;

/// The first capacity of a buffer whose size is not announced.
const FIRST_CAPACITY: usize = 8 * 1024;
/// Received bytes that count as progress. Single bytes do not, or one byte now and then would keep a
/// large body from ever being cut off.
const PROGRESS_BYTES: usize = 1024;

/// A body that is being received. Each capacity is granted by the budget before it is allocated.
///
/// What is received is copied, since a chunk refers to the read buffer of its connection: 1,000 chunks
/// of one byte would otherwise keep as many read buffers alive.
#[derive(Debug)]
pub struct IntakeBuffer {
    bytes: Vec<u8>,
    lease: ByteLease,
    /// The largest size that the body may have.
    max_bytes: usize,
    since_progress: usize,
}

impl IntakeBuffer {
    /// Builds an empty buffer.
    pub fn new(lease: ByteLease, max_bytes: usize) -> Self {
        Self {
            bytes: Vec::new(),
            lease,
            max_bytes,
            since_progress: 0,
        }
    }

    /// Reserves the capacity for a body that announces its size.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the budget has no room in time.
    pub async fn reserve(&mut self, bytes: usize) -> Result<(), Refusal> {
        if bytes > self.bytes.capacity() {
            // Both buffers exist while the contents are moved.
            self.lease.resize(self.bytes.capacity() + bytes).await?;
            self.bytes.reserve_exact(bytes - self.bytes.len());
            if self.bytes.capacity() > bytes || !self.bytes.is_empty() {
                self.lease.shrink(self.bytes.capacity());
            }
        }
        Ok(())
    }

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the budget has no room in time, or when the holding was cut off.
    pub async fn push(&mut self, part: &[u8]) -> Result<(), Refusal> {
        let size = self.bytes.len() + part.len();
        if size > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(FIRST_CAPACITY);
            let capacity = doubled.min(self.max_bytes).max(size);
            let lease = self.lease.clone();
            tokio::select! {
                reserved = self.reserve(capacity) => reserved?,
                () = lease.cut() => return Err(cut_refusal()),
            }
        }
        self.bytes.extend_from_slice(part);
        self.since_progress += part.len();
        if self.since_progress >= PROGRESS_BYTES {
            self.since_progress = 0;
            self.lease.progress();
        }
        Ok(())
    }

    /// Returns the number of received bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Waits until the holding is cut off, and returns the refusal of its request.
    pub async fn cut(lease: &ByteLease) -> Refusal {
        lease.cut().await;
        cut_refusal()
    }

    /// Returns the lease.
    pub fn lease(&self) -> &ByteLease {
        &self.lease
    }

    /// Returns the complete body, which counts until its last reference is dropped.
    pub fn freeze(self) -> Bytes {
        self.lease.set_phase(HoldingPhase::InProgress);
        HeldBytes::share(self.bytes, self.lease)
    }
}

fn cut_refusal() -> Refusal {
    let detail = "the request body made no progress while the memory for requests was exhausted";
    Refusal::new(ErrorKind::Overloaded, detail)
}
