//! A backend server in the platform's list.

use std::net::SocketAddr;

use compact_str::CompactString;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::ModelWeights;

/// One backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunnerRecord {
    /// The identity of this start of the server, which a request can insist on.
    pub identity: CompactString,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// The weights that it serves, for a model engine.
    pub weights: Vec<ModelWeights>,
    /// The start of the server, as milliseconds since the epoch; 0 when it isn't told.
    pub born_ms: u64,
}
