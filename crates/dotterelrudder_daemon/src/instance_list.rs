//! The platform's instance list, which lags.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use slog::debug;
use slog::Logger;

use crate::http_client::HttpClient;

/// How often the list is read.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long one read may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// One row of the list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedInstance {
    /// The process.
    pub name: InstanceName,
    /// Its role: `entry` or `side`.
    pub role: CompactString,
    /// Where it listens for other processes.
    pub address: SocketAddr,
    /// The service of a side's backend server.
    #[serde(default)]
    pub service: ServiceName,
    /// `live` or `leaving`.
    pub state: CompactString,
}

impl ListedInstance {
    /// Returns whether the platform shows the instance as leaving.
    pub fn is_leaving(&self) -> bool {
        self.state == "leaving"
    }
}

/// Reads the list again and again and hands each copy to `on_list`.
pub async fn poll<T>(url: CompactString, log: Logger, on_list: T)
where
    T: Fn(Vec<ListedInstance>),
{
    let client = HttpClient::default();
    loop {
        match client.get(&url, POLL_TIMEOUT).await {
            Ok(body) => match serde_json::from_slice(&body) {
                Ok(rows) => on_list(rows),
                Err(e) => debug!(log, "instance list not read"; "error" => e.to_string()),
            },
            Err(e) => debug!(log, "instance list not read"; "error" => e.detail),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
