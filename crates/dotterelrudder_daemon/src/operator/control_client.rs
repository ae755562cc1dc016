//! The HTTP client for the operator interface of control: tries the control instances in turn until
//! one responds.

use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_types::ErrorKind;
use http::Request;
use http_body_util::Full;
use serde_json::Value;

use super::arguments::Options;
use crate::http_client::HttpClient;
use crate::response_limits::ResponseLimits;

/// The timeout of a call to one instance in the first round. A publish makes two calls, and with
/// this timeout it skips a frozen instance within two seconds in total.
const FIRST_ROUND_TIMEOUT: Duration = Duration::from_millis(700);
/// The upper bound of the timeout, which doubles in each round, for calls that take long.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// The largest response that is read, in bytes; a configuration is the largest.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// The number of rounds over all instances.
const ROUNDS: u32 = 20;
/// The pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// The failure of a command: the message for standard error and the exit code.
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

/// Parses an error response; also returns whether to try the next instance.
fn parse_failure(status: u16, body: &[u8]) -> (Failure, bool) {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &value["error"];
    let code = error["code"].as_str().unwrap_or("");
    let message = error["message"].as_str().unwrap_or("");
    let kind = ErrorKind::from_code(code);
    let exit_code = kind.map_or(70, |k| k.row().exit_code);
    // Commands are idempotent, so another instance can be tried after these errors.
    let retryable = matches!(
        kind,
        Some(ErrorKind::NotFresh | ErrorKind::OutcomeUnknown | ErrorKind::Leaving) | None
    );
    let message = format!("{code} (status {status}): {message}");
    (Failure { message, exit_code }, retryable)
}

/// Sends a request to the control instances in turn and returns the first successful response.
/// Skips an instance that is unreachable, times out, is leaving, or cannot confirm a quorum or the
/// outcome.
pub(super) async fn send_request(
    options: &Options,
    method: &str,
    path: &str,
    body: &str,
) -> Result<Value, Failure> {
    if options.controls.is_empty() {
        return Err(Failure::usage(
            "--control HOST:PORT is missing; set it or DOTTERELRUDDER_CONTROL",
        ));
    }
    let limits = ResponseLimits::new(MAX_RESPONSE_BYTES, MAX_RESPONSE_BYTES);
    let client = HttpClient::with_limits(limits);
    let mut last_failure = Failure {
        message: "no control instance responded".into(),
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
                        message: format!("{control}: the response is not valid JSON: {e}"),
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
