//! What stores hold, as the leader tells entries.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::PartKey;
use super::StoreStatus;
use super::StoredPart;

/// How long after its question an entry may go by the directory: as long as it takes until a new
/// leader has read the stores after the loss of one. The leader frees nothing before, so that both
/// sides go by this one figure.
pub const DIRECTORY_LEASE: Duration = Duration::from_millis(3_200);
/// How long after it was sent a fetch may still end; the leader waits for it before it frees.
pub const FETCH_LIMIT: Duration = Duration::from_millis(1_500);

/// Changes of the directory of stored parts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// The number of the directory before the update; 0 when it replaces everything.
    pub from: u64,
    /// The number of the directory after the update.
    pub number: u64,
    /// The stores whose standing changed; all of them when the update replaces everything.
    pub stores: Vec<StoreStatus>,
    /// Stores that must not be named any more.
    pub stores_gone: Vec<SocketAddr>,
    /// Parts that can be fetched from now on.
    pub added: Vec<StoredPart>,
    /// Parts that must not be fetched any more.
    pub removed: Vec<(SocketAddr, PartKey)>,
}
