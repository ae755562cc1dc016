//! A service of a deployment configuration.

use compact_str::CompactString;
use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::EngineAttributes;
use super::StoreTraits;
use super::WarmUp;

/// A service and what its backend servers offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEndpoint {
    /// The service's name, unique in the document.
    pub name: ServiceName,
    /// The path of the backend servers' health check; empty for a store.
    pub health_path: CompactString,
    /// Connections that one backend server accepts from all clients together; 0 if not declared.
    pub max_connections: u32,
    /// The capacity of the engines; set for a service of model engines.
    pub engine: Option<EngineAttributes>,
    /// The address and capacity of the store; set for a KV cache store.
    pub store: Option<StoreTraits>,
    /// How the backend servers warm up; none if they bear any rate from their start. It isn't part
    /// of the encoding; see [`super::DeploymentExtension`].
    #[serde(skip)]
    pub warm_up: Option<WarmUp>,
}
