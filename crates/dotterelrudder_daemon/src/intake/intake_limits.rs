//! Limits derived from the machine.

use std::time::Duration;

use super::MachineLimits;

/// What one open connection occupies at most: read buffers of the HTTP library for a head of 16 KiB,
/// its task and its socket's state. Measured on an entry: 31 to 45 KB.
const CONNECTION_BYTES: usize = 40 * 1024;
/// The size up to which a holding counts as small: several times the usual request of these services.
const SMALL_BYTES: usize = 64 * 1024;
/// Descriptors that are left to files, and to links, runners and operators by their number.
const FILE_DESCRIPTORS: usize = 200;

/// Limits on what a process holds for its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Bytes of all bodies, buffered responses and events together.
    pub bytes: usize,
    /// The part of `bytes` that only small holdings get.
    pub reserved_bytes: usize,
    /// The size up to which a holding counts as small.
    pub small_bytes: usize,
    /// Open connections of callers.
    pub connections: usize,
}

impl IntakeLimits {
    /// The longest wait for bytes, after which a request is refused. A refusal is worth most early.
    pub const MAX_WAIT: Duration = Duration::from_millis(500);

    /// Derives the limits. Three tenths of the memory are for bytes, a quarter is for connections; the
    /// rest is left to the process itself, to connections with runners, and to fragmentation.
    pub fn of(machine: MachineLimits) -> Self {
        let bytes = machine.memory_bytes / 10 * 3;
        let for_files = FILE_DESCRIPTORS.min(machine.descriptors / 4);
        let by_descriptors = (machine.descriptors - for_files) / 2;
        let by_memory = machine.memory_bytes / 4 / CONNECTION_BYTES;
        Self {
            bytes,
            reserved_bytes: bytes / 8,
            small_bytes: SMALL_BYTES.min(bytes / 16),
            connections: by_descriptors.min(by_memory).max(1),
        }
    }
}
