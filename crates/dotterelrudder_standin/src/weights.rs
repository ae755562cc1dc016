//! The stand-in for the rate-limited weight store.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use dotterelrudder_daemon::http_server::answer;
use serde::Deserialize;
use serde_json::json;

use crate::server;
use crate::server::not_found;

/// Loads at once that don't slow each other down.
const FAST_LOADS: u64 = 2;

/// What the stand-in is told.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsFile {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Milliseconds that a load takes while at most two run.
    pub load_ms: u64,
}

#[derive(Debug, Default)]
struct Counters {
    running: AtomicU64,
    most: AtomicU64,
    loads: AtomicU64,
}

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Returns what the system says when the address can't be listened at.
pub async fn run(file: WeightsFile) -> Result<(), String> {
    let counters = Arc::new(Counters::default());
    let load_ms = file.load_ms;
    server::serve(file.listen, move |req| {
        let counters = counters.clone();
        async move {
            if req.path == "/stats" {
                let most = counters.most.load(Ordering::Relaxed);
                let loads = counters.loads.load(Ordering::Relaxed);
                return server::json(200, &json!({"most_at_once": most, "loads": loads}));
            }
            if !req.path.starts_with("/weights/") {
                return not_found();
            }
            let running = counters.running.fetch_add(1, Ordering::Relaxed) + 1;
            counters.most.fetch_max(running, Ordering::Relaxed);
            let slowed = running.saturating_sub(FAST_LOADS) + 1;
            tokio::time::sleep(Duration::from_millis(load_ms * slowed)).await;
            counters.running.fetch_sub(1, Ordering::Relaxed);
            counters.loads.fetch_add(1, Ordering::Relaxed);
            answer(200, "application/octet-stream", "weights")
        }
    })
    .await
}
