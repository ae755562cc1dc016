//! Reads the contents of stores and sends them orders to free parts; only the leading control
//! instance does so.

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

/// How long the store may hold a call for changes open until there are some (long polling); shorter
/// waits put more load on the store.
const CHANGES_WAIT: Duration = Duration::from_millis(400);
/// Time limit of a call, in addition to its wait for changes.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a store is read again after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval between full listings of a store, since a store fails to report a few of its changes.
const LISTING_INTERVAL: Duration = Duration::from_secs(10);

/// Runs one reader for each store in the replication status and sends the replica's orders to free
/// parts, until the process ends.
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
    // All readers share one limit on what they hold in memory.
    let client = HttpClient::default();
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
                    client: client.clone(),
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
    // No retry: parts that were not freed are in the next listing and are selected again.
    match client.post_json(&url, body, CALL_TIMEOUT).await {
        Ok(status) => info!(log, "order to free stored parts sent"; "store" => %order.store,
            "parts" => order.parts.len(), "status" => status),
        Err(e) => warn!(log, "order to free stored parts failed"; "store" => %order.store,
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
                warn!(self.log, "store cannot be read"; "store" => %self.store, "error" => e);
                self.replica
                    .report_store(StoreReport::Lost { store: self.store });
            }
            reachable = false;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Lists the store's contents and follows their changes, until a call fails.
    async fn follow(&self, reachable: &mut bool) -> Result<std::convert::Infallible, String> {
        loop {
            let body = self.get(self.dialect.contents_path(), None).await?;
            let contents = self.dialect.read_contents(&body)?;
            if !*reachable {
                info!(self.log, "store can be read again"; "store" => %self.store);
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
                    // Lets changes that follow shortly accumulate, so that one call returns them
                    // together.
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
