//! A service in a whole configuration.

use compact_str::CompactString;
use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::EngineAttributes;
use super::StoreTraits;

/// A service and what its backend servers offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEndpoint {
    /// The service's name.
    pub name: ServiceName,
    /// The path of its health check; empty for a store.
    pub health_path: CompactString,
    /// Connections that one backend server accepts from all callers together; 0 when not told.
    pub max_connections: u32,
    /// Set for a service of model engines.
    pub engine: Option<EngineAttributes>,
    /// Set for a store of kept KV cache.
    pub store: Option<StoreTraits>,
}
