//! The share of one response in what is read at the same time.

use std::sync::atomic::Ordering;

use crate::response_limits::ResponseLimits;

/// The size up to which a response is read on when the common limit is exceeded, in bytes.
const SHORT_RESPONSE_BYTES: usize = 64 * 1024;

/// The bytes of one response, subtracted from the total when dropped.
#[derive(Debug)]
pub struct ResponseShare {
    limits: ResponseLimits,
    bytes: usize,
}

impl ResponseShare {
    pub(crate) fn new(limits: ResponseLimits) -> Self {
        Self { limits, bytes: 0 }
    }

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
