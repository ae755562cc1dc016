//! Polls the platform's instance list, which lags behind the true state of the instances.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use slog::debug;
use slog::Logger;

use crate::http_client::HttpClient;

/// Delay between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for one read of the list.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// One row of the instance list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance, unique in the deployment.
    pub name: InstanceName,
    /// Role of the instance: `entry` or `side`.
    pub role: CompactString,
    /// Address where the instance accepts connections from other processes.
    pub address: SocketAddr,
    /// Service that a side's backend server belongs to; empty for an entry.
    #[serde(default)]
    pub service: ServiceName,
    /// State of the instance: `live` or `leaving`.
    pub state: CompactString,
}

impl ListedInstance {
    /// Returns whether the platform is about to stop the instance.
    pub fn is_leaving(&self) -> bool {
        self.state == "leaving"
    }
}

/// Reads the list at `url` periodically and passes each result to `on_list`; a failed read is
/// logged and tried again after the usual delay.
pub async fn poll<T>(url: CompactString, log: Logger, on_list: T)
where
    T: Fn(Vec<ListedInstance>),
{
    let client = HttpClient::default();
    loop {
        match client.get(&url, POLL_TIMEOUT).await {
            Ok(body) => match serde_json::from_slice(&body) {
                Ok(rows) => on_list(rows),
                Err(e) => debug!(log, "failed to read the instance list"; "error" => e.to_string()),
            },
            Err(e) => debug!(log, "failed to read the instance list"; "error" => e.detail),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
