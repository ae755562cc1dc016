//! Polls the platform's list of backend servers; only the leading control instance does so.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::Clock;
use dotterelrudder_wire::RunnerRecord;
use slog::info;
use slog::warn;
use slog::Logger;

use super::unreadable_entries::UnreadableEntries;
use super::ListDialect;
use super::RunnerList;
use crate::control::Replica;
use crate::http_client::HttpClient;
use crate::json_list::UnreadableEntry;
use crate::metrics::Metrics;
use crate::system_clock::SystemClock;

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
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
}

/// One reading of all pages.
#[derive(Debug, Default)]
struct Reading {
    rows: Vec<RunnerRecord>,
    unreadable: usize,
    described: Vec<UnreadableEntry>,
    /// Why the reading is incomplete.
    fault: Option<String>,
}

impl<D> ListPoller<D>
where
    D: ListDialect,
{
    /// Reads the list every `period` while the replica leads, until the process ends.
    pub(super) async fn run(self) {
        let client = HttpClient::default();
        let clock = SystemClock::default();
        let mut replication_status = self.replica.watch_replication_status();
        let mut reachable = true;
        let mut unreadable_entries = UnreadableEntries::default();
        let mut list = RunnerList::default();
        loop {
            if !replication_status.borrow().leads {
                // What is known now may be long past when this replica leads again.
                list = RunnerList::default();
            }
            if replication_status.wait_for(|s| s.leads).await.is_err() {
                return;
            }
            match self.fetch_list(&client).await {
                Ok(reading) => {
                    if !reachable {
                        info!(self.log, "instance list can be read again";
                            "address" => %self.address);
                    }
                    reachable = true;
                    unreadable_entries.log(&self.log, &reading.described);
                    if let Some(fault) = &reading.fault {
                        unreadable_entries.log_fault(&self.log, fault, reading.rows.len());
                    }
                    let is_complete = reading.fault.is_none();
                    let (rows, conflicts) = list.apply(clock.now(), reading.rows, is_complete);
                    let unreadable = reading.unreadable + conflicts.len();
                    self.metrics.set_unreadable_list_entries(unreadable);
                    let conflicts: Vec<_> = conflicts.iter().map(describe_conflict).collect();
                    unreadable_entries.log(&self.log, &conflicts);
                    if let Some(rows) = rows {
                        self.replica.report_runners(rows);
                    }
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

    /// Reads one page after the other. What was read of a list counts also if its pages don't end
    /// or a later one cannot be read.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if the first page cannot be read.
    async fn fetch_list(&self, client: &HttpClient) -> Result<Reading, String> {
        let mut reading = Reading::default();
        let mut tokens: HashSet<CompactString> = HashSet::new();
        let mut page: Option<CompactString> = None;
        for number in 0..MAX_PAGES {
            let path = self.dialect.list_path(page.as_deref());
            let url = format!("http://{}{path}", self.address);
            let body = client.get(&url, CALL_TIMEOUT).await.map_err(|e| e.detail);
            let list_page = match body.and_then(|body| self.dialect.read_list(&body)) {
                Ok(list_page) => list_page,
                Err(e) if number == 0 => return Err(e),
                Err(_) => {
                    reading.fault = Some(format!("page {} cannot be read", number + 1));
                    return Ok(reading);
                }
            };
            reading.rows.extend(list_page.rows);
            reading.unreadable += list_page.unreadable;
            reading.described.extend(list_page.described);
            reading.fault = reading.fault.or(list_page.fault);
            let Some(next) = list_page.next else {
                return Ok(reading);
            };
            if !tokens.insert(next.clone()) {
                reading.fault = Some("a page token comes twice".into());
                return Ok(reading);
            }
            page = Some(next);
        }
        reading.fault = Some(format!("the list has more than {MAX_PAGES} pages"));
        Ok(reading)
    }
}

/// Describes a record whose identity belongs to another record of the same list.
fn describe_conflict(record: &RunnerRecord) -> UnreadableEntry {
    let entry = format!("{} {} {}", record.identity, record.service, record.address);
    UnreadableEntry::new(entry.as_bytes(), "another entry has the same id")
}
