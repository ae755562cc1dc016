//! Reads what stores hold and has them free parts, at the leading control instance only.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_control::FreePartsOrder;
use dotterelrudder_control::StoreReport;
use slog::info;
use slog::warn;
use slog::Logger;
use tokio::task::AbortHandle;

use super::StoreDialect;
use crate::control::Replica;
use crate::http_client::HttpClient;

/// How long a call for changes waits for some; calls that wait less cost the store more.
const CHANGES_WAIT: Duration = Duration::from_millis(400);
/// How long a call may take beyond its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// How often everything is listed anew, since a few changes are never told.
const LISTING_INTERVAL: Duration = Duration::from_secs(10);

/// Reads the stores that the replica asks for, for as long as the process lives.
pub(super) async fn read_stores<D>(replica: Replica, dialect: Arc<D>, log: Logger)
where
    D: StoreDialect,
{
    if let Some(mut free_orders) = replica.take_free_orders() {
        let (dialect, log) = (dialect.clone(), log.clone());
        tokio::spawn(async move {
            let client = HttpClient::default();
            while let Some(order) = free_orders.recv().await {
                let (client, dialect, log) = (client.clone(), dialect.clone(), log.clone());
                tokio::spawn(
                    async move { send_free_order(&client, &*dialect, &order, &log).await },
                );
            }
        });
    }
    let mut replication_status = replica.watch_replication_status();
    let mut readers: BTreeMap<SocketAddr, AbortHandle> = BTreeMap::new();
    loop {
        let wanted = replication_status.borrow_and_update().stores.clone();
        readers.retain(|address, task| {
            let keep = wanted.contains(address);
            if !keep {
                task.abort();
            }
            keep
        });
        for address in wanted {
            readers.entry(address).or_insert_with(|| {
                let reader = StoreReader {
                    replica: replica.clone(),
                    dialect: dialect.clone(),
                    store: address,
                    client: HttpClient::default(),
                    log: log.clone(),
                };
                tokio::spawn(reader.run()).abort_handle()
            });
        }
        if replication_status.changed().await.is_err() {
            return;
        }
    }
}

async fn send_free_order<D>(client: &HttpClient, dialect: &D, order: &FreePartsOrder, log: &Logger)
where
    D: StoreDialect,
{
    let (path, body) = dialect.write_free(order);
    let url = format!("http://{}{path}", order.store);
    // What wasn't freed shows in the next list and is chosen again.
    match client.post_json(&url, body, CALL_TIMEOUT).await {
        Ok(status) => info!(log, "stored parts freed"; "store" => %order.store,
            "parts" => order.parts.len(), "status" => status),
        Err(e) => warn!(log, "stored parts not freed"; "store" => %order.store,
            "error" => e.detail),
    }
}

struct StoreReader<D> {
    replica: Replica,
    dialect: Arc<D>,
    store: SocketAddr,
    client: HttpClient,
    log: Logger,
}

impl<D> StoreReader<D>
where
    D: StoreDialect,
{
    async fn run(self) {
        let mut reachable = true;
        loop {
            let Err(e) = self.follow(&mut reachable).await;
            if reachable {
                warn!(self.log, "store is lost"; "store" => %self.store, "error" => e);
                self.replica
                    .report_store(StoreReport::Lost { store: self.store });
            }
            reachable = false;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Lists everything and follows the changes until a call fails.
    async fn follow(&self, reachable: &mut bool) -> Result<std::convert::Infallible, String> {
        loop {
            let body = self.get(self.dialect.contents_path(), None).await?;
            let contents = self.dialect.read_contents(&body)?;
            if !*reachable {
                info!(self.log, "store is back"; "store" => %self.store);
            }
            *reachable = true;
            let (mut next, epoch) = (contents.next, contents.epoch);
            self.replica.report_store(StoreReport::Listed {
                store: self.store,
                epoch,
                clock_ms: contents.clock_ms,
                held: contents.held,
                partial: contents.partial,
            });
            let mut since_listing = Duration::ZERO;
            while since_listing < LISTING_INTERVAL {
                let path = self.dialect.changes_path(next);
                let body = self.get(&path, Some(CHANGES_WAIT)).await?;
                let changes = self.dialect.read_changes(&body)?;
                if changes.epoch != epoch || changes.gap {
                    break;
                }
                next = changes.next;
                let had_events = !changes.events.is_empty();
                self.replica.report_store(StoreReport::Changed {
                    store: self.store,
                    epoch,
                    clock_ms: changes.clock_ms,
                    events: changes.events,
                });
                since_listing += CHANGES_WAIT;
                if had_events {
                    // Gathers what comes close together.
                    tokio::time::sleep(CHANGES_WAIT / 4).await;
                }
            }
        }
    }

    async fn get(&self, path: &str, wait: Option<Duration>) -> Result<Bytes, String> {
        let header = wait.map(|wait| self.dialect.wait_header(wait));
        let limit = CALL_TIMEOUT + wait.unwrap_or_default();
        let url = format!("http://{}{path}", self.store);
        let body = self.client.get_with(&url, header, limit).await;
        body.map_err(|e| e.detail)
    }
}
