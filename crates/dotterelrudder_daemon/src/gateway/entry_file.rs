//! Settings file of an entry that calls backend servers itself.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_gateway::GatewaySettings;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::RoutingPolicy;
use serde::Deserialize;

use super::answer_limits::AnswerLimits;
use crate::fleet::Seeds;
use crate::settings::SettingsFile;

/// The settings file of an entry that calls backend servers itself.
#[derive(Debug, Clone, Deserialize)]
pub struct GatewayFile {
    /// The name of this instance.
    pub name: InstanceName,
    /// The data centre that the entry runs in.
    pub data_centre: DataCentre,
    /// The addresses of control instances to contact first.
    #[serde(flatten)]
    pub seeds: Seeds,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address on which the load balancer checks readiness.
    pub ready: SocketAddr,
    /// The path of the readiness check.
    pub ready_path: CompactString,
    /// The address that serves metrics.
    pub admin: SocketAddr,
    /// Milliseconds after which a revoked API key must no longer be accepted.
    #[serde(default = "default_revoke_ms")]
    pub revoke_ms: u64,
    /// Milliseconds after new weights were named in which requests may still begin on older ones.
    #[serde(default = "default_weights_ms")]
    pub weights_ms: u64,
    /// Retries allowed for each request of a service, as a share of the requests.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// The length of the sliding window in which requests and retries are counted, in seconds.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// Retries allowed in a window in addition to the ratio, for all entries together.
    #[serde(default = "default_retry_slack")]
    pub retry_slack: f64,
    /// The grace period in seconds: the time from the stop signal until the process is killed.
    #[serde(default = "default_stop_grace_s")]
    pub stop_grace_s: f64,
    /// The sampling interval of the request log: one of this many requests that succeeded at their
    /// first attempt is logged, 0 for none. Failed requests and requests with more than one attempt
    /// are always logged.
    #[serde(default = "default_log_answered_every")]
    pub log_answered_every: u32,
    /// Limits on the size of responses from backend servers, in bytes.
    #[serde(flatten)]
    pub answer_limits: AnswerLimits,
    /// The policy by which a runner is chosen. All but the default are baselines for measurements.
    #[serde(default)]
    pub policy: RoutingPolicy,
    /// Whether requests wait for capacity, or are refused, by what it costs their callers, instead of
    /// for the same multiple of their objective.
    #[serde(default)]
    pub overload_control: bool,
    /// Memory of the machine in MiB; without it, what the operating system reports.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Descriptors that the process may open; without it, what the operating system reports.
    #[serde(default)]
    pub max_descriptors: Option<u32>,
    /// The secret that all processes of the deployment share. Empty if the network is closed.
    #[serde(default)]
    pub secret: CompactString,
}

fn default_revoke_ms() -> u64 {
    5_000
}

fn default_weights_ms() -> u64 {
    10_000
}

fn default_retry_ratio() -> f64 {
    0.1
}

fn default_retry_window_s() -> f64 {
    10.0
}

fn default_retry_slack() -> f64 {
    20.0
}

fn default_log_answered_every() -> u32 {
    1
}

fn default_stop_grace_s() -> f64 {
    8.0
}

/// The length of the lease on API keys, as a share from 0 to 1 of `revoke_ms`. The remaining time
/// covers requests that wait before they are sent to a runner.
const KEY_LEASE_SHARE: f64 = 0.7;

impl GatewayFile {
    /// Returns the settings that the entry's decisions depend on.
    pub fn gateway_settings(&self) -> GatewaySettings {
        GatewaySettings {
            data_centre: self.data_centre.clone(),
            key_lease: Duration::from_millis(self.revoke_ms).mul_f64(KEY_LEASE_SHARE),
            retry_ratio: self.retry_ratio,
            retry_window: Duration::from_secs_f64(self.retry_window_s),
            retry_slack: self.retry_slack,
            policy: self.policy,
            old_weights_limit: Duration::from_millis(self.weights_ms),
        }
    }
}

impl SettingsFile for GatewayFile {
    const KEYS: &'static [&'static str] = &[
        "name",
        "data_centre",
        "seeds",
        "link_port",
        "listen",
        "ready",
        "ready_path",
        "admin",
        "revoke_ms",
        "weights_ms",
        "retry_ratio",
        "retry_window_s",
        "retry_slack",
        "stop_grace_s",
        "log_answered_every",
        "answer_head_bytes",
        "answer_event_bytes",
        "answer_bytes",
        "gathered_answer_bytes",
        "policy",
        "overload_control",
        "memory_mb",
        "max_descriptors",
        "secret",
    ];
}
