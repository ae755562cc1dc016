//! Reads the platform's list of backend servers, at the leading control instance only.

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

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Pages of one list at most, against a list that never ends.
const MAX_PAGES: usize = 64;

/// What the poller works with.
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
    /// Reads the list for as long as the process lives, while its replica leads.
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
                        info!(self.log, "instance list is back"; "address" => %self.address);
                    }
                    if unreadable_now != unreadable {
                        warn!(self.log, "entries of the instance list can't be read";
                            "entries" => unreadable_now, "readable" => rows.len());
                    }
                    (reachable, unreadable) = (true, unreadable_now);
                    self.replica.report_runners(rows);
                }
                Err(e) => {
                    if reachable {
                        warn!(self.log, "instance list is lost";
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
        Err(format!("more than {MAX_PAGES} pages"))
    }
}
