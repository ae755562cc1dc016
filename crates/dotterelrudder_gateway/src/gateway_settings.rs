//! The settings of the gateway's decisions.

use std::time::Duration;

use dotterelrudder_types::DataCentre;
use dotterelrudder_types::RoutingPolicy;

/// What the deployment asks of every entry.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The data centre that the entry runs in.
    pub data_centre: DataCentre,
    /// How long after its last confirmed question an entry may go by the accounts' keys.
    pub key_lease: Duration,
    /// Repeats allowed for each request of a service.
    pub retry_ratio: f64,
    /// The span over which repeats are counted.
    pub retry_window: Duration,
    /// Repeats allowed in a span beside the ratio, for all entries together.
    pub retry_slack: f64,
    /// How a runner is chosen.
    pub policy: RoutingPolicy,
    /// How long after new weights were named requests may still begin on older ones.
    pub old_weights_limit: Duration,
}
