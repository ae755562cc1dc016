//! One caller: sends completions, takes the answer apart, checks it.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use dotterelrudder_daemon::http_client::CallError;
use dotterelrudder_daemon::http_client::HttpClient;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::json;
use serde_json::Value;

use super::Report;
use crate::answer::expected_answer;

/// Tries of one request at most.
const MAX_TRIES: usize = 12;
/// How long to pause when no entry can be connected.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);
/// How long one answer may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);

/// A completion to ask for.
#[derive(Debug, Clone)]
pub struct Completion {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Whether to stream.
    pub stream: bool,
}

/// A whole answer.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// The text.
    pub text: String,
    /// The weight version that answered.
    pub version: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that weren't recomputed.
    pub cached_tokens: u64,
    /// Milliseconds to the first token.
    pub ttft_ms: f64,
    /// Milliseconds of the longest pause between two tokens.
    pub gap_ms: f64,
    /// When the first token came.
    pub first_token_at: Option<Instant>,
    /// Milliseconds of each pause between two tokens.
    pub gaps_ms: Vec<f64>,
}

enum Try {
    Answered(Outcome),
    /// Refused as not run, or not connected; may be asked again after a pause.
    Again(Duration, String),
    Broken(String),
    Failed(String),
}

/// Sends requests to entries in turn, as the platform's balancer would.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The entries' addresses.
    pub entries: Vec<String>,
    /// The bearer key.
    pub key: String,
    /// Calls HTTP servers.
    pub client: HttpClient,
    /// Tries of one request at most.
    pub tries: usize,
}

impl Caller {
    /// Builds a caller with connections of its own.
    pub fn new(entries: &[String], key: &str) -> Self {
        Self {
            entries: entries.to_vec(),
            key: key.into(),
            client: HttpClient::default(),
            tries: MAX_TRIES,
        }
    }

    /// Asks for a completion, first at the entry with number `first`, checks the answer and notes
    /// what it finds.
    pub async fn complete(
        &self,
        completion: &Completion,
        first: usize,
        report: &mut Report,
    ) -> Option<Outcome> {
        report.requests += 1;
        let mut last = String::new();
        for number in 0..self.tries {
            let entry = &self.entries[(first + number) % self.entries.len()];
            let limited = tokio::time::timeout(ANSWER_LIMIT, self.try_complete(completion, entry));
            let tried = limited
                .await
                .unwrap_or(Try::Broken("no answer in time".into()));
            match tried {
                Try::Answered(outcome) => {
                    check(completion, &outcome, report);
                    return Some(outcome);
                }
                Try::Again(pause, why) => {
                    report.refused += 1;
                    last = why;
                    tokio::time::sleep(pause).await;
                }
                Try::Broken(why) => {
                    report.cut_off += 1;
                    report.note(format!("cut off at {entry}: {why}"));
                    return None;
                }
                Try::Failed(why) => {
                    report.failed += 1;
                    report.note(format!("failed at {entry}: {why}"));
                    return None;
                }
            }
        }
        report.failed += 1;
        report.note(format!("no answer after {} tries: {last}", self.tries));
        None
    }

    async fn try_complete(&self, completion: &Completion, entry: &str) -> Try {
        let Completion {
            model,
            prompt,
            max_tokens,
            stream,
        } = completion;
        let body = json!({
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": stream,
        });
        let began = Instant::now();
        let req = self.request("POST", entry, "/v1/completions", body.to_string().into());
        let response = match self.client.send(req).await {
            Ok(response) => response,
            Err(CallError {
                sent: false,
                detail,
            }) => return Try::Again(CONNECT_PAUSE, detail),
            Err(CallError { detail, .. }) => return Try::Broken(detail),
        };
        let status = response.status().as_u16();
        if status != 200 {
            return refused(status, response).await;
        }
        let version = response.headers().get("x-weight-version");
        let version = version
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let read = if *stream {
            read_stream(response, began).await
        } else {
            read_whole(response).await
        };
        match read {
            Ok(outcome) => Try::Answered(Outcome { version, ..outcome }),
            Err(why) => Try::Broken(why),
        }
    }

    /// Builds a request with the caller's key.
    pub fn request(
        &self,
        method: &str,
        entry: &str,
        path: &str,
        body: Bytes,
    ) -> Request<Full<Bytes>> {
        Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .unwrap_or_default()
    }
}

async fn refused(status: u16, response: Response<Incoming>) -> Try {
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => return Try::Broken(e.to_string()),
    };
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    let error = &value["error"];
    let text = format!("status {status}: {error}");
    match error["retry_after_s"].as_u64() {
        Some(seconds) if error["outcome"] == "not_run" => {
            Try::Again(Duration::from_secs(seconds), text)
        }
        _ => Try::Failed(text),
    }
}

fn usage_of(value: &Value, outcome: &mut Outcome) {
    let usage = &value["usage"];
    if let Some(prompt_tokens) = usage["prompt_tokens"].as_u64() {
        outcome.prompt_tokens = prompt_tokens;
        let cached = usage["prompt_tokens_details"]["cached_tokens"].as_u64();
        outcome.cached_tokens = cached.unwrap_or(0);
    }
}

async fn read_whole(response: Response<Incoming>) -> Result<Outcome, String> {
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|e| e.to_string())?
        .to_bytes();
    let value: Value = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
    let text = value["choices"][0]["text"].as_str().unwrap_or_default();
    let mut outcome = Outcome {
        text: text.into(),
        ..Outcome::default()
    };
    usage_of(&value, &mut outcome);
    Ok(outcome)
}

async fn read_stream(response: Response<Incoming>, began: Instant) -> Result<Outcome, String> {
    let mut body = response.into_body();
    let mut buf = BytesMut::new();
    let mut outcome = Outcome::default();
    let mut last: Option<Instant> = None;
    while let Some(frame) = body.frame().await {
        let data = frame
            .map_err(|e| e.to_string())?
            .into_data()
            .unwrap_or_default();
        buf.extend_from_slice(&data);
        while let Some(end) = buf.windows(2).position(|w| w == b"\n\n") {
            let event = buf.split_to(end + 2);
            let text = event.strip_prefix(b"data: ").unwrap_or_default();
            if text.starts_with(b"[DONE]") {
                return Ok(outcome);
            }
            let value: Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
            if value.get("error").is_some() {
                return Err(value["error"].to_string());
            }
            if let Some(token) = value["choices"][0]["text"].as_str() {
                let now = Instant::now();
                match last {
                    None => {
                        outcome.ttft_ms = (now - began).as_secs_f64() * 1e3;
                        outcome.first_token_at = Some(now);
                    }
                    Some(last) => {
                        let gap = (now - last).as_secs_f64() * 1e3;
                        outcome.gap_ms = outcome.gap_ms.max(gap);
                        outcome.gaps_ms.push(gap);
                    }
                }
                last = Some(now);
                outcome.text.push_str(token);
            }
            usage_of(&value, &mut outcome);
        }
    }
    Err("the stream ended before it was whole".into())
}

fn check(completion: &Completion, outcome: &Outcome, report: &mut Report) {
    let Completion {
        model,
        prompt,
        max_tokens,
        stream,
    } = completion;
    let expected = expected_answer(model, &outcome.version, prompt.as_bytes(), *max_tokens);
    if outcome.text != expected {
        report.wrong_answers += 1;
        let (got, version) = (&outcome.text, &outcome.version);
        report.note(format!(
            "wrong answer with version \"{version}\": \"{got}\", not \"{expected}\""
        ));
    }
    if *stream {
        report.ttft_ms.push(outcome.ttft_ms);
        report.gap_ms.push(outcome.gap_ms);
    }
}
