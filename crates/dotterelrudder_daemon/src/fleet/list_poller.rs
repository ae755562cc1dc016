//! Polls the platform's list of backend servers; only the leading control instance does so.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_wire::RunnerRecord;
use slog::info;
use slog::warn;
use slog::Logger;

use super::ListDialect;
use crate::control::Replica;
use crate::http_client::HttpClient;

/// Time limit of one call to the list, which returns one page.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of pages of one list; guards against a list whose pages never end.
const MAX_PAGES: usize = 64;

/// Polls the list and passes it to the replica.
pub(super) struct ListPoller<D> {
    pub(super) replica: Replica,
    pub(super) dialect: Arc<D>,
    pub(super) address: SocketAddr,
    pub(super) period: Duration,
    pub(super) log: Logger,
}

impl<D> ListPoller<D>
where
    D: ListDialect,
{
    /// Reads the list every `period` while the replica leads, until the process ends.
    pub(super) async fn run(self) {
        let client = HttpClient::default();
        let mut replication_status = self.replica.watch_replication_status();
        let mut reachable = true;
        let mut unreadable = 0;
        loop {
            if replication_status.wait_for(|s| s.leads).await.is_err() {
                return;
            }
            match self.fetch_list(&client).await {
                Ok((rows, unreadable_now)) => {
                    if !reachable {
                        info!(self.log, "instance list can be read again";
                            "address" => %self.address);
                    }
                    if unreadable_now != unreadable {
                        warn!(self.log, "number of unreadable entries in the instance list changed";
                            "entries" => unreadable_now, "readable" => rows.len());
                    }
                    (reachable, unreadable) = (true, unreadable_now);
                    self.replica.report_runners(rows);
                }
                Err(e) => {
                    if reachable {
                        warn!(self.log, "instance list cannot be read";
                            "address" => %self.address, "error" => e);
                    }
                    reachable = false;
                }
            }
            tokio::time::sleep(self.period).await;
        }
    }

    async fn fetch_list(&self, client: &HttpClient) -> Result<(Vec<RunnerRecord>, usize), String> {
        let mut rows = Vec::new();
        let mut unreadable = 0;
        let mut page: Option<CompactString> = None;
        for _ in 0..MAX_PAGES {
            let path = self.dialect.list_path(page.as_deref());
            let url = format!("http://{}{path}", self.address);
            let body = client.get(&url, CALL_TIMEOUT).await.map_err(|e| e.detail)?;
            let list_page = self.dialect.read_list(&body)?;
            rows.extend(list_page.rows);
            unreadable += list_page.unreadable;
            match list_page.next {
                Some(next) => page = Some(next),
                None => return Ok((rows, unreadable)),
            }
        }
        Err(format!("instance list has more than {MAX_PAGES} pages"))
    }
}
