//! The software versions of the backend servers in the platform's instance list.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Sent by the leader to entries before each list of backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerSoftware {
    /// The identity of each server with the version of its software.
    pub versions: Vec<(CompactString, CompactString)>,
}
