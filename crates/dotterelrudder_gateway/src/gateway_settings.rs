//! Settings of the gateway's decisions.

use std::time::Duration;

use dotterelrudder_types::DataCentre;
use dotterelrudder_types::RoutingPolicy;

/// The deployment's settings for the decisions of an entry.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The data centre that the entry runs in.
    pub data_centre: DataCentre,
    /// How long after the last query that control confirmed an entry accepts API keys.
    pub key_lease: Duration,
    /// Retries allowed for each request of a service, as a share of the requests.
    pub retry_ratio: f64,
    /// The length of the sliding window in which requests and retries are counted.
    pub retry_window: Duration,
    /// Retries allowed in a window in addition to the ratio, for all entries together.
    pub retry_slack: f64,
    /// The policy by which a runner is chosen.
    pub policy: RoutingPolicy,
    /// How long after new weights were named requests may still begin on older ones.
    pub old_weights_limit: Duration,
}
