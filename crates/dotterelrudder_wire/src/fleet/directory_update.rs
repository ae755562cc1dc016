//! What stores hold, as the leader tells entries.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::PartKey;
use super::StoreStanding;
use super::StoredPart;

/// Changes of the directory of stored parts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// The number of the directory before the update; 0 when it replaces everything.
    pub from: u64,
    /// The number of the directory after the update.
    pub number: u64,
    /// All stores.
    pub stores: Vec<StoreStanding>,
    /// Parts that can be fetched from now on.
    pub added: Vec<StoredPart>,
    /// Parts that must not be fetched any more.
    pub removed: Vec<(SocketAddr, PartKey)>,
}
