//! A service that takes a share of a route's requests.

use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// A service and its weight among a route's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the sum of all weights of the route.
    pub weight: u64,
}
