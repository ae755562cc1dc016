//! Limits on the responses that the clones of one HTTP client hold in memory.
//!
//! Load pattern: faulty servers send bytes without end, several at the same time. Each response is
//! limited by itself, and all that are being read share a limit, since together they could exhaust the
//! memory of the process.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The size up to which a response is read on when the common limit is exceeded, in bytes.
const SHORT_RESPONSE_BYTES: usize = 64 * 1024;

/// The largest size of one response and of all that are read at the same time; clones count the same
/// responses.
#[derive(Debug, Clone)]
pub struct ResponseLimits {
    response_bytes: usize,
    total_bytes: usize,
    in_use: Arc<AtomicUsize>,
}

impl ResponseLimits {
    /// Limits one response, and all that are read at the same time, in bytes.
    pub fn new(response_bytes: usize, total_bytes: usize) -> Self {
        Self {
            response_bytes,
            total_bytes,
            in_use: Arc::default(),
        }
    }

    /// Begins to count the bytes of a response.
    pub fn begin(&self) -> ResponseShare {
        ResponseShare {
            limits: self.clone(),
            bytes: 0,
        }
    }
}

/// The bytes of one response, subtracted from the total when dropped.
#[derive(Debug)]
pub struct ResponseShare {
    limits: ResponseLimits,
    bytes: usize,
}

impl ResponseShare {
    /// Counts received bytes.
    ///
    /// # Errors
    ///
    /// Returns which limit is exceeded; the rest of the response must not be read.
    pub fn add(&mut self, bytes: usize) -> Result<(), String> {
        let limits = &self.limits;
        self.bytes += bytes;
        let total = limits.in_use.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if self.bytes > limits.response_bytes {
            let most = limits.response_bytes;
            return Err(format!("the response exceeds {most} bytes"));
        }
        if self.bytes > SHORT_RESPONSE_BYTES && total > limits.total_bytes {
            let most = limits.total_bytes;
            return Err(format!(
                "the responses that are read exceed {most} bytes together"
            ));
        }
        Ok(())
    }
}

impl Drop for ResponseShare {
    fn drop(&mut self) {
        self.limits.in_use.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
