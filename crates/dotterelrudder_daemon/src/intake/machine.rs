//! Memory and descriptors of the machine.

use rustix::process::getrlimit;
use rustix::process::Resource;

/// Bytes in a mebibyte, the unit of the setting `memory_mb`.
const MIB: usize = 1024 * 1024;
/// Memory that is assumed if the operating system reports none.
const UNKNOWN_MEMORY_BYTES: usize = 128 * MIB;
/// The least that counts: with less, no body of 4 MiB could be received.
const MIN_MEMORY_BYTES: usize = 32 * MIB;
/// The least descriptors that count.
const MIN_DESCRIPTORS: usize = 64;
/// Descriptors that count at most, if the operating system allows more.
const MAX_DESCRIPTORS: usize = 1 << 20;

/// The memory and the descriptors that a process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Bytes of memory.
    pub memory_bytes: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

impl MachineLimits {
    /// Builds the limits from the settings; what they lack is what the operating system reports.
    pub fn new(memory_mb: Option<u32>, max_descriptors: Option<u32>) -> Self {
        let memory_bytes = memory_mb.map(|mb| mb as usize * MIB);
        let descriptors = max_descriptors.map(|n| n as usize);
        Self {
            memory_bytes: memory_bytes
                .unwrap_or_else(reported_memory)
                .max(MIN_MEMORY_BYTES),
            descriptors: descriptors
                .unwrap_or_else(reported_descriptors)
                .max(MIN_DESCRIPTORS),
        }
    }
}

/// Returns the memory of the machine that the operating system reports.
fn reported_memory() -> usize {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = text.lines().find_map(|l| l.strip_prefix("MemTotal:"));
    let kb = total.and_then(|l| l.trim().strip_suffix(" kB")?.parse::<usize>().ok());
    kb.map_or(UNKNOWN_MEMORY_BYTES, |kb| kb * 1024)
}

/// Returns the number of descriptors that the operating system allows.
fn reported_descriptors() -> usize {
    let most = getrlimit(Resource::Nofile).current;
    let most = most.and_then(|most| usize::try_from(most).ok());
    most.map_or(MAX_DESCRIPTORS, |most| most.min(MAX_DESCRIPTORS))
}
