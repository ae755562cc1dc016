//! The stand-in for a plain service; it counts how often each request ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dotterelrudder_daemon::http_server::answer;
use dotterelrudder_daemon::http_server::AnswerBody;
use http::Response;
use serde::Deserialize;
use serde_json::json;

use crate::server;
use crate::server::WholeRequest;

/// What the stand-in is told.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainFile {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Milliseconds that a request takes.
    pub work_ms: u64,
}

#[derive(Debug, Default)]
struct Counts {
    runs: BTreeMap<String, u64>,
}

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Returns what the system says when the address can't be listened at.
pub async fn run(file: PlainFile) -> Result<(), String> {
    let counts = Arc::new(Mutex::new(Counts::default()));
    let work = Duration::from_millis(file.work_ms);
    server::serve(file.listen, move |req| handle(counts.clone(), work, req)).await
}

async fn handle(
    counts: Arc<Mutex<Counts>>,
    work: Duration,
    req: WholeRequest,
) -> Response<AnswerBody> {
    let lock = || counts.lock().unwrap_or_else(|e| e.into_inner());
    if req.path == "/stats" {
        let counts = lock();
        let twice = counts.runs.values().filter(|n| **n > 1).count();
        let body = json!({"requests": counts.runs.len(), "ran_twice": twice, "runs": counts.runs});
        return server::json(200, &body);
    }
    // The body names the request, so that two runs of one request show.
    let name = String::from_utf8_lossy(&req.body).into_owned();
    let number = {
        let mut counts = lock();
        let runs = counts
            .runs
            .entry(format!("{} {name}", req.path))
            .or_default();
        *runs += 1;
        *runs
    };
    tokio::time::sleep(work).await;
    answer(
        200,
        "application/json",
        json!({"done": name, "run": number}).to_string(),
    )
}
