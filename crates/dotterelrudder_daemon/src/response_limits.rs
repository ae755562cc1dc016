//! Limits on the responses that the clones of one HTTP client hold in memory.
//!
//! Load pattern: faulty servers send bytes without end, several at the same time. Each response is
//! limited by itself, and all that are being read share a limit, since together they could exhaust the
//! memory of the process.

use std::sync::atomic::AtomicUsize;
use std::sync::Arc;

use crate::response_share::ResponseShare;

/// The largest size of one response and of all that are read at the same time; clones count the same
/// responses.
#[derive(Debug, Clone)]
pub struct ResponseLimits {
    pub(crate) response_bytes: usize,
    pub(crate) total_bytes: usize,
    pub(crate) in_use: Arc<AtomicUsize>,
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
        ResponseShare::new(self.clone())
    }
}
