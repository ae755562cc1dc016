//! The stand-in for the platform's instance list, which lags.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use dotterelrudder_daemon::http_server::answer;
use serde::Deserialize;

use crate::server;
use crate::server::not_found;

/// How often the file is read.
const READ_EVERY: Duration = Duration::from_millis(100);

/// What the stand-in is told.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListFile {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The file that holds the rows, as JSON; it can be replaced while the stand-in runs.
    pub rows: PathBuf,
    /// Milliseconds by which the list lags behind the file.
    pub lag_ms: u64,
}

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Returns what the system says when the address can't be listened at.
pub async fn run(file: ListFile) -> Result<(), String> {
    let versions: Arc<Mutex<VecDeque<(Instant, String)>>> = Arc::default();
    let lag = Duration::from_millis(file.lag_ms);
    let (written, rows) = (versions.clone(), file.rows);
    tokio::spawn(async move {
        loop {
            if let Ok(text) = tokio::fs::read_to_string(&rows).await {
                let mut versions = written.lock().unwrap_or_else(|e| e.into_inner());
                versions.push_back((Instant::now(), text));
                while versions.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
                    versions.pop_front();
                }
            }
            tokio::time::sleep(READ_EVERY).await;
        }
    });
    server::serve(file.listen, move |req| {
        let versions = versions.clone();
        async move {
            if req.path != "/instances" {
                return not_found();
            }
            let versions = versions.lock().unwrap_or_else(|e| e.into_inner());
            let rows = versions
                .front()
                .map_or("[]".to_owned(), |(_, text)| text.clone());
            answer(200, "application/json", rows)
        }
    })
    .await
}
