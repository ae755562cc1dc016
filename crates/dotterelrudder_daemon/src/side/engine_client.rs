//! The HTTP client for a model engine: completions, KV cache blocks, weight loads, load and cache
//! events. docs/PROTOCOLS.md describes the protocol.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use dotterelrudder_side::BackendStatus;
use dotterelrudder_side::Input;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::Tier;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_wire::Start;
use dotterelrudder_wire::Usage;
use dotterelrudder_wire::Work;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;

use super::actor::EventSender;
use crate::http_client::CallError;
use crate::http_client::HttpClient;

/// The maximum time between two tokens of a stream; a longer gap fails the run.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum time to import or export one block.
const BLOCK_TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum time to load a weight version.
const WEIGHT_LOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum time of a call that reads load or cache events, or cancels a run.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause between two reads of load and cache events.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A client for one model engine, which posts the engine's events to the side actor.
#[derive(Debug, Clone)]
pub(super) struct EngineClient {
    pub(super) client: HttpClient,
    pub(super) base: String,
    pub(super) events: EventSender,
}

/// One event of a streamed completion.
#[derive(Deserialize)]
struct StreamEvent {
    /// The text of one token.
    text: Option<String>,
    /// The tokens used, sent before the end of the stream.
    usage: Option<Usage>,
}

/// The response of `/load`.
#[derive(Deserialize)]
struct LoadResponse {
    weight_version: WeightVersion,
    /// How many runs the engine takes at once.
    slots: u32,
    /// The prefill rate, in tokens per second.
    prefill_rate: f64,
    /// The size of one KV cache block, in bytes.
    block_bytes: u32,
}

/// The response of `/cache/events`.
#[derive(Deserialize)]
struct CacheEventsResponse {
    /// The position from which the next read continues.
    next: u64,
    /// Whether `added` lists the full content of the cache instead of a delta.
    whole: bool,
    added: Vec<String>,
    removed: Vec<String>,
}

/// Builds the event of a failed run, with the engine named as the source of the error.
fn run_failed(run: u64, error: CallError) -> Input {
    let detail = CompactString::from(format!("engine: {}", error.detail));
    Input::RunFailed {
        run,
        called: error.sent,
        detail,
    }
}

/// Builds the error of a call that may have reached the engine.
fn error_after_send<D>(detail: D) -> CallError
where
    D: ToString,
{
    CallError {
        sent: true,
        detail: detail.to_string(),
    }
}

impl EngineClient {
    fn request(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, CallError> {
        let url = format!("{}{path}", self.base);
        let req = Request::builder()
            .method(method)
            .uri(url)
            .body(Full::new(body));
        req.map_err(|e| CallError {
            sent: false,
            detail: e.to_string(),
        })
    }

    /// Runs a completion and posts its events; posts a failure if it ends incomplete.
    pub(super) async fn run_completion(self, run: u64, tier: Tier, start: Box<Start>) {
        if let Err(error) = self.try_run_completion(run, tier, &start).await {
            self.events.post(run_failed(run, error));
        }
    }

    async fn try_run_completion(
        &self,
        run: u64,
        tier: Tier,
        start: &Start,
    ) -> Result<(), CallError> {
        let Work::Completion {
            model,
            prompt,
            max_tokens,
            ..
        } = &start.work
        else {
            return Err(CallError {
                sent: false,
                detail: "a model engine runs completions only".into(),
            });
        };
        let body = json!({
            "request_id": run.to_string(),
            "model": model,
            "prompt": String::from_utf8_lossy(prompt),
            "max_tokens": max_tokens,
            "stream": true,
            "priority": u8::from(tier == Tier::Trial),
            "cache_salt": start.account,
        });
        let req = self.request("POST", "/v1/completions", body.to_string().into())?;
        let response = self.client.send(req).await?;
        let status = response.status();
        if !status.is_success() {
            // With 503 the engine reports that it refused the request before it began to run it, so
            // the request counts as not sent.
            let sent = status.as_u16() != 503;
            return Err(CallError {
                sent,
                detail: format!("unexpected HTTP status {status}"),
            });
        }
        let version = response.headers().get("x-weight-version");
        let version = version.and_then(|v| v.to_str().ok()).unwrap_or_default();
        self.events.post(Input::RunStarted {
            run,
            version: version.into(),
            status: 200,
            content_type: CompactString::default(),
        });
        self.stream_tokens(run, response).await
    }

    /// Posts each token of a stream. Posts the end of the run only on the `[DONE]` event, since a
    /// stream that closes without it is incomplete.
    async fn stream_tokens(&self, run: u64, response: Response<Incoming>) -> Result<(), CallError> {
        let mut body = response.into_body();
        let mut buf = BytesMut::new();
        let mut usage = None;
        let mut share = self.client.begin_response();
        loop {
            let frame = tokio::time::timeout(TOKEN_TIMEOUT, body.frame()).await;
            let frame = frame.map_err(|_| error_after_send("timed out waiting for a token"))?;
            let frame = frame.ok_or(error_after_send("the stream ended without a [DONE] event"))?;
            let data = frame
                .map_err(error_after_send)?
                .into_data()
                .unwrap_or_default();
            share.add(data.len()).map_err(error_after_send)?;
            buf.extend_from_slice(&data);
            while let Some(end) = buf.windows(2).position(|w| w == b"\n\n") {
                let event = buf.split_to(end + 2);
                let Some(text) = event.strip_prefix(b"data: ") else {
                    continue;
                };
                if text.starts_with(b"[DONE]") {
                    let usage = usage.ok_or(error_after_send("the stream contains no usage"))?;
                    self.events.post(Input::RunFinished { run, usage });
                    return Ok(());
                }
                let event: StreamEvent = serde_json::from_slice(text).map_err(error_after_send)?;
                usage = event.usage.or(usage);
                if let Some(text) = event.text {
                    self.events.post(Input::RunChunk {
                        run,
                        data: text.into(),
                    });
                }
            }
        }
    }

    /// Cancels a run at the engine.
    pub(super) async fn cancel_run(self, run: u64) {
        if let Ok(req) = self.request("POST", &format!("/cancel/{run}"), Bytes::new()) {
            // A failure is ignored: a run that has already ended cannot be cancelled and need not
            // be.
            let _response = self.client.fetch(req, SHORT_CALL_TIMEOUT).await;
        }
    }

    /// Imports a block into the engine's KV cache and posts whether the engine accepted it.
    pub(super) async fn import_block(
        self,
        run: u64,
        key: BlockKey,
        version: WeightVersion,
        data: Bytes,
    ) {
        let path = format!("/kv/{key}?weight_version={version}");
        let taken = match self.request("PUT", &path, data) {
            Ok(req) => self
                .client
                .fetch(req, BLOCK_TRANSFER_TIMEOUT)
                .await
                .is_ok_and(|(s, _)| s == 200),
            Err(_) => false,
        };
        self.events.post(Input::BlockImported { run, key, taken });
    }

    /// Exports a block from the engine's KV cache and posts its bytes, if it is still cached.
    pub(super) async fn export_block(self, key: BlockKey) {
        let url = format!("{}/kv/{key}", self.base);
        let data = self.client.get(&url, BLOCK_TRANSFER_TIMEOUT).await.ok();
        self.events.post(Input::BlockExported { key, data });
    }

    /// Makes the engine load a weight version and posts the version served afterwards.
    pub(super) async fn load_version(self, fence: u64, version: WeightVersion) {
        let body = json!({"weight_version": version, "fence": fence}).to_string();
        let done = match self.request("POST", "/orders/load", body.into()) {
            Ok(req) => self
                .client
                .fetch(req, WEIGHT_LOAD_TIMEOUT)
                .await
                .is_ok_and(|(s, _)| s == 200),
            Err(_) => false,
        };
        // The version is read back, since the engine may serve another than the ordered one.
        let loaded_version = self
            .fetch_load()
            .await
            .map(|load| load.version)
            .unwrap_or_default();
        self.events.post(Input::VersionLoaded {
            fence,
            version: loaded_version,
            done,
        });
    }

    /// Fetches the load of the engine; returns `None` if the call fails.
    async fn fetch_load(&self) -> Option<BackendStatus> {
        let body = self
            .client
            .get(&format!("{}/load", self.base), SHORT_CALL_TIMEOUT)
            .await
            .ok()?;
        let load: LoadResponse = serde_json::from_slice(&body).ok()?;
        Some(BackendStatus {
            version: load.weight_version,
            slots: load.slots,
            prefill_rate: load.prefill_rate,
            block_bytes: load.block_bytes,
        })
    }

    /// Fetches the cache events from position `since` on; returns `None` if the call fails.
    async fn fetch_cache_events(&self, since: u64) -> Option<CacheEventsResponse> {
        let url = format!("{}/cache/events?since={since}", self.base);
        let body = self.client.get(&url, SHORT_CALL_TIMEOUT).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Polls load and cache events and posts them, for as long as the process runs.
    pub(super) async fn poll(self) {
        let mut since = 0;
        loop {
            if let Some(load) = self.fetch_load().await {
                self.events.post(Input::Load(load));
            }
            if let Some(cache) = self.fetch_cache_events(since).await {
                since = cache.next;
                let parse_keys = |texts: Vec<String>| {
                    texts
                        .iter()
                        .filter_map(|text| BlockKey::parse(text))
                        .collect::<Vec<_>>()
                };
                let (added, removed) = (parse_keys(cache.added), parse_keys(cache.removed));
                if cache.whole || !added.is_empty() || !removed.is_empty() {
                    self.events.post(Input::CacheEvents {
                        whole: cache.whole,
                        added,
                        removed,
                    });
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
