//! Polls the platform's instance list, which lags behind the true state of the instances.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use slog::debug;
use slog::Logger;

use crate::fleet::UnreadableEntries;
use crate::http_client::HttpClient;
use crate::json_list::for_each_entry;
use crate::json_list::skip_space;
use crate::json_list::ListOutcome;

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

/// Reads the entries of a list, each by itself: an odd one costs itself alone.
pub fn read_list(body: &[u8]) -> (Vec<ListedInstance>, ListOutcome) {
    let mut rows = Vec::new();
    let outcome = for_each_entry(body, skip_space(body, 0), |entry| {
        let row = serde_json::from_slice(entry).map_err(|e| e.to_string())?;
        rows.push(row);
        Ok(())
    });
    (rows, outcome)
}

/// Reads the list at `url` periodically and passes each result to `on_list`; a failed read, or a
/// list that breaks off, is logged and read again after the usual delay.
pub async fn poll<T>(url: CompactString, log: Logger, on_list: T)
where
    T: Fn(Vec<ListedInstance>),
{
    let client = HttpClient::default();
    let mut unreadable_entries = UnreadableEntries::default();
    loop {
        match client.get(&url, POLL_TIMEOUT).await {
            Ok(body) => {
                let (rows, outcome) = read_list(&body);
                unreadable_entries.log(&log, &outcome.described);
                if outcome.end.is_some() {
                    on_list(rows);
                } else {
                    debug!(log, "failed to read the instance list"; "error" => "it doesn't end");
                }
            }
            Err(e) => debug!(log, "failed to read the instance list"; "error" => e.detail),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
