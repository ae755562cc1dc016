//! The settings of an entry that calls backend servers itself.

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

/// What such an entry is told.
#[derive(Debug, Clone, Deserialize)]
pub struct GatewayFile {
    /// The instance's name.
    pub name: InstanceName,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The control instances known at the start.
    #[serde(flatten)]
    pub seeds: Seeds,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the entry takes callers.
    pub ready: SocketAddr,
    /// The path of that question.
    pub ready_path: CompactString,
    /// Where it serves metrics.
    pub admin: SocketAddr,
    /// Milliseconds after which a key that was taken away must not count any more.
    #[serde(default = "default_revoke_ms")]
    pub revoke_ms: u64,
    /// Milliseconds within which requests begin on named weights only.
    #[serde(default = "default_weights_ms")]
    pub weights_ms: u64,
    /// Repeats allowed for each request.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Seconds over which repeats are counted.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// Repeats allowed beside the ratio in that time, for all entries together.
    #[serde(default = "default_retry_slack")]
    pub retry_slack: f64,
    /// Seconds between the signal of a planned stop and the kill.
    #[serde(default = "default_stop_grace_s")]
    pub stop_grace_s: f64,
    /// One in how many requests that were answered at once leaves a line in the log; 0 for none.
    /// Failures and requests that needed more than one attempt always leave one.
    #[serde(default = "default_log_answered_every")]
    pub log_answered_every: u32,
    /// Bounds on what backend servers send.
    #[serde(flatten)]
    pub answer_limits: AnswerLimits,
    /// How a runner is chosen; all but the default are baselines for measurements.
    #[serde(default)]
    pub policy: RoutingPolicy,
    /// The secret that all processes of the deployment share; empty on a closed network.
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

/// The share of the time until a key must not count that an entry goes by its last confirmation;
/// the rest covers requests that wait before they are sent on.
const KEY_LEASE_SHARE: f64 = 0.7;

impl GatewayFile {
    /// Returns the settings of the decisions.
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
        "secret",
    ];
}
