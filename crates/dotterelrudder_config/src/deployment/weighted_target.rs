//! A service that receives a weighted share of a route's requests.

use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// A service and its weight among a route's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedTarget {
    /// The name of the service.
    pub service: ServiceName,
    /// The service's share of the requests, relative to the sum of all weights of the route.
    pub weight: u64,
}
