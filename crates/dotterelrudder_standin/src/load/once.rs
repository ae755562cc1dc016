//! Calls that may not be repeated, whose answer is lost and that are sent again.

use std::time::Duration;

use http::header::HeaderValue;
use serde_json::Value;

use super::Caller;
use super::Report;

/// How long the first caller waits before its connection breaks.
const LOSE_AFTER: Duration = Duration::from_millis(30);
/// How long one answer may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// Tries of a resend at most.
const MAX_TRIES: usize = 20;

/// Sends `count` calls to `path`, drops each first answer, and sends each again through the next
/// entry until it gets the stored answer.
pub async fn run_once(caller: &Caller, path: &str, count: usize, seed: u64) -> Report {
    let mut report = Report::default();
    for number in 0..count {
        report.requests += 1;
        let name = format!("call-{seed}-{number}");
        let first = send(caller, path, &name, number);
        // Dropping the call closes its connection, so that its answer is lost.
        let lost = tokio::time::timeout(LOSE_AFTER, first).await;
        drop(lost);
        match resend(caller, path, &name, number + 1).await {
            Ok(body) if body["done"] == name.as_str() => {}
            Ok(body) => {
                report.wrong_answers += 1;
                report.note(format!("{name}: wrong answer {body}"));
            }
            Err(e) => {
                report.failed += 1;
                report.note(format!("{name}: {e}"));
            }
        }
    }
    report
}

async fn send(
    caller: &Caller,
    path: &str,
    name: &str,
    entry: usize,
) -> Result<(u16, bytes::Bytes), String> {
    let entry = &caller.entries[entry % caller.entries.len()];
    let mut req = caller.request("POST", entry, path, name.to_owned().into());
    let key = HeaderValue::from_str(name).map_err(|e| e.to_string())?;
    req.headers_mut().insert("idempotency-key", key);
    caller
        .client
        .fetch(req, ANSWER_LIMIT)
        .await
        .map_err(|e| e.detail)
}

async fn resend(caller: &Caller, path: &str, name: &str, entry: usize) -> Result<Value, String> {
    let mut last = String::new();
    for number in 0..MAX_TRIES {
        match send(caller, path, name, entry + number).await {
            Ok((200, body)) => return serde_json::from_slice(&body).map_err(|e| e.to_string()),
            Ok((status, body)) => {
                last = format!("status {status}: {}", String::from_utf8_lossy(&body));
            }
            Err(e) => last = e,
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(last)
}
