//! The rates of backend servers that are cold.

use compact_str::CompactString;
use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// The rate of one cold backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WarmUpUpdate {
    /// The identity of the server.
    pub runner: CompactString,
    /// The requests a second that it takes from all entries together; `None` once it is warm.
    pub rate: Option<f64>,
}

/// Sent by the leader to entries before the list of backend servers, load reports or the fleet state
/// that the change follows from, so that no entry uses a cold server without knowing its rate.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RunnerWarmUps {
    /// The services whose servers warm up, each with the requests a second of a cold server.
    pub services: Vec<(ServiceName, f64)>,
    /// The servers that became cold or warm.
    pub runners: Vec<WarmUpUpdate>,
}
