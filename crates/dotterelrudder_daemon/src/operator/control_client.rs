//! Asks control instances, one after the other until one answers.

use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_types::ErrorKind;
use http::Request;
use http_body_util::Full;
use serde_json::Value;

use super::arguments::Options;
use crate::http_client::HttpClient;

/// How long one instance may take in the first round. A publish makes two calls, and moves on from
/// an instance that stands still within two seconds in all.
const FIRST_ROUND_TIMEOUT: Duration = Duration::from_millis(700);
/// How long one instance may take in later rounds, for answers that need long.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Rounds over all instances.
const ROUNDS: u32 = 20;
/// How long to pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Why a command failed.
#[derive(Debug)]
pub(super) struct Failure {
    pub(super) message: String,
    pub(super) exit_code: u8,
}

impl Failure {
    pub(super) fn usage<T>(message: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            message: message.into(),
            exit_code: 64,
        }
    }
}

fn parse_failure(status: u16, body: &[u8]) -> (Failure, bool) {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &value["error"];
    let code = error["code"].as_str().unwrap_or("");
    let message = error["message"].as_str().unwrap_or("");
    let kind = ErrorKind::from_code(code);
    let exit_code = kind.map_or(70, |k| k.row().exit_code);
    // Commands are idempotent, so that these can be asked of another instance.
    let retryable = matches!(
        kind,
        Some(ErrorKind::NotFresh | ErrorKind::OutcomeUnknown | ErrorKind::Leaving) | None
    );
    let message = format!("{code} (status {status}): {message}");
    (Failure { message, exit_code }, retryable)
}

/// Sends a request to the first instance that answers for a quorum.
pub(super) async fn send_request(
    options: &Options,
    method: &str,
    path: &str,
    body: &str,
) -> Result<Value, Failure> {
    if options.controls.is_empty() {
        return Err(Failure::usage("--control HOST:PORT is missing"));
    }
    let client = HttpClient::default();
    let mut last_failure = Failure {
        message: "no control instance answers".into(),
        exit_code: 69,
    };
    for round in 0..ROUNDS {
        let timeout = (FIRST_ROUND_TIMEOUT * 2u32.pow(round.min(8))).min(MAX_CALL_TIMEOUT);
        for control in &options.controls {
            let req = Request::builder()
                .method(method)
                .uri(format!("http://{control}{path}"))
                .header("authorization", format!("Bearer {}", options.token))
                .body(Full::new(Bytes::from(body.to_owned())));
            let req = req.map_err(|e| Failure::usage(format!("--control {control}: {e}")))?;
            match client.fetch(req, timeout).await {
                Ok((200, body)) => {
                    return serde_json::from_slice(&body).map_err(|e| Failure {
                        message: format!("{control} gave no JSON: {e}"),
                        exit_code: 70,
                    });
                }
                Ok((status, body)) => {
                    let (failure, retryable) = parse_failure(status, &body);
                    if !retryable {
                        return Err(failure);
                    }
                    last_failure = failure;
                }
                Err(e) => {
                    last_failure.message = format!("{control}: {}", e.detail);
                }
            }
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    Err(last_failure)
}
