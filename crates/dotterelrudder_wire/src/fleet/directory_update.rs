//! Changes of the directory of stored parts, sent by the leader to entries, and the time limits for
//! its use.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::PartKey;
use super::StoreStatus;
use super::StoredPart;

/// The time for which an entry may use the directory, counted from when it sent the last
/// [`super::FleetQuery`] that the leader replied to. It covers the time until a new leader has
/// read all stores after the previous leader was lost. The leader frees no part earlier than that,
/// so that entries and leader depend on this one constant.
pub const DIRECTORY_LEASE: Duration = Duration::from_millis(3_200);
/// The time after which a fetch of a stored part can no longer complete, counted from when it was
/// sent. The leader waits for this time before it frees a part.
pub const FETCH_LIMIT: Duration = Duration::from_millis(1_500);

/// One update of the directory of stored parts: a delta, or a full replacement.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// The number of the directory that the update applies to; 0 when the update replaces the
    /// whole directory.
    pub from: u64,
    /// The number of the directory after the update.
    pub number: u64,
    /// The stores whose status changed; all stores when the update replaces the whole directory.
    pub stores: Vec<StoreStatus>,
    /// Stores that entries must no longer name to runners.
    pub stores_gone: Vec<SocketAddr>,
    /// Parts that can be fetched from now on.
    pub added: Vec<StoredPart>,
    /// Parts that must no longer be fetched, each with the address of its store.
    pub removed: Vec<(SocketAddr, PartKey)>,
}
