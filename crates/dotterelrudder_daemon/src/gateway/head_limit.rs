//! Limits what is read of a connection before the head of a response is complete.
//!
//! Load pattern: a faulty server sends interim responses without end. The HTTP library reads any number
//! of those without a pause, which would starve all other tasks of the process.

use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The bytes that may be read before the head of a response is complete, interim responses included.
const MAX_BYTES_BEFORE_HEAD: usize = 1024 * 1024;

/// Counts the bytes that are read before the head of a response; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct HeadLimit {
    read: Arc<AtomicUsize>,
    has_head: Arc<AtomicBool>,
}

impl HeadLimit {
    /// Starts the count anew, for the response to the next request.
    pub fn arm(&self) {
        self.read.store(0, Ordering::Release);
        self.has_head.store(false, Ordering::Release);
    }

    /// Records that the head of the response arrived.
    pub fn head_arrived(&self) {
        self.has_head.store(true, Ordering::Release);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// Returns an error if they are too many for a response without a complete head.
    pub(super) fn record(&self, bytes: usize) -> io::Result<()> {
        let before = self.read.fetch_add(bytes, Ordering::AcqRel);
        if before + bytes <= MAX_BYTES_BEFORE_HEAD || self.has_head.load(Ordering::Acquire) {
            return Ok(());
        }
        let detail = format!("no response head within {MAX_BYTES_BEFORE_HEAD} bytes");
        Err(io::Error::new(io::ErrorKind::InvalidData, detail))
    }
}
