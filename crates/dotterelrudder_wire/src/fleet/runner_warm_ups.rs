//! The rates of backend servers that are cold.

use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// How long a permit for a cold server is valid, from the time at which the report that it answers
/// was sent. Permits of this time add to those of each second in which a cold server's requests are
/// counted; see docs/design/cold-runners.md.
pub const COLD_PERMIT_VALIDITY: Duration = Duration::from_millis(300);

/// The smallest share of a cold server's rate that is granted, for rates too low for the bound.
const MIN_GRANTED_SHARE: f64 = 0.2;

/// Returns the rate at which permits for a cold server are granted that takes `requests_per_s` from
/// all entries: with a bucket that holds one permit, no second gets more than `requests_per_s`.
pub fn cold_grant_rate(requests_per_s: f64) -> f64 {
    let bounded = (requests_per_s - 1.0) / (1.0 + COLD_PERMIT_VALIDITY.as_secs_f64());
    bounded.max(MIN_GRANTED_SHARE * requests_per_s)
}

/// The rate of one cold server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WarmUpUpdate {
    /// The identity of the server.
    pub runner: CompactString,
    /// The requests a second that it takes from all entries together; `None` once it is warm.
    pub rate: Option<f64>,
    /// How long it stays cold, in milliseconds; 0 once it is warm. A receiver without contact to a
    /// leader ends the rate by itself after this time.
    pub left_ms: u32,
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
