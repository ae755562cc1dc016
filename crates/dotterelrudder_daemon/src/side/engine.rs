//! Calls of a model engine, by the protocol of docs/PROTOCOLS.md.

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

use super::actor::Events;
use crate::http_client::CallError;
use crate::http_client::HttpClient;

/// How long an engine may be silent between two tokens before the run counts as failed.
const TOKEN_SILENCE: Duration = Duration::from_secs(5);
/// How long the exchange of one block may take.
const BLOCK_LIMIT: Duration = Duration::from_secs(3);
/// How long a load of weights may take.
const LOAD_LIMIT: Duration = Duration::from_secs(30);
/// How long a short call may take.
const SHORT_LIMIT: Duration = Duration::from_secs(2);
/// How often load and cache events are read.
const POLL_EVERY: Duration = Duration::from_millis(100);

/// One engine.
#[derive(Debug, Clone)]
pub(super) struct Engine {
    pub(super) client: HttpClient,
    pub(super) base: String,
    pub(super) events: Events,
}

#[derive(Deserialize)]
struct StreamEvent {
    text: Option<String>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct LoadAnswer {
    weight_version: WeightVersion,
    slots: u32,
    prefill_rate: f64,
    block_bytes: u32,
}

#[derive(Deserialize)]
struct CacheAnswer {
    next: u64,
    whole: bool,
    added: Vec<String>,
    removed: Vec<String>,
}

fn failed(run: u64, error: CallError) -> Input {
    let detail = CompactString::from(format!("engine: {}", error.detail));
    Input::RunFailed {
        run,
        called: error.sent,
        detail,
    }
}

fn broken<D>(detail: D) -> CallError
where
    D: ToString,
{
    CallError {
        sent: true,
        detail: detail.to_string(),
    }
}

impl Engine {
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

    /// Runs a completion and posts its events.
    pub(super) async fn complete(self, run: u64, tier: Tier, start: Box<Start>) {
        if let Err(error) = self.try_complete(run, tier, &start).await {
            self.events.post(failed(run, error));
        }
    }

    async fn try_complete(&self, run: u64, tier: Tier, start: &Start) -> Result<(), CallError> {
        let Work::Completion {
            model,
            prompt,
            max_tokens,
            ..
        } = &start.work
        else {
            return Err(CallError {
                sent: false,
                detail: "not a completion".into(),
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
            // The engine says that it refused before it began.
            let sent = status.as_u16() != 503;
            return Err(CallError {
                sent,
                detail: format!("status {status}"),
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
        self.relay(run, response).await
    }

    /// Posts each token of a stream, and its end only when the stream said that it is whole.
    async fn relay(&self, run: u64, response: Response<Incoming>) -> Result<(), CallError> {
        let mut body = response.into_body();
        let mut buf = BytesMut::new();
        let mut usage = None;
        loop {
            let frame = tokio::time::timeout(TOKEN_SILENCE, body.frame()).await;
            let frame = frame.map_err(|_| broken("silent between tokens"))?;
            let frame = frame.ok_or(broken("the stream ended before it was whole"))?;
            let data = frame.map_err(broken)?.into_data().unwrap_or_default();
            buf.extend_from_slice(&data);
            while let Some(end) = buf.windows(2).position(|w| w == b"\n\n") {
                let event = buf.split_to(end + 2);
                let Some(text) = event.strip_prefix(b"data: ") else {
                    continue;
                };
                if text.starts_with(b"[DONE]") {
                    let usage = usage.ok_or(broken("the stream told no usage"))?;
                    self.events.post(Input::RunFinished { run, usage });
                    return Ok(());
                }
                let event: StreamEvent = serde_json::from_slice(text).map_err(broken)?;
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

    /// Cancels a run.
    pub(super) async fn cancel(self, run: u64) {
        if let Ok(req) = self.request("POST", &format!("/cancel/{run}"), Bytes::new()) {
            // A run that already ended can't be cancelled, which is as well.
            let _answer = self.client.fetch(req, SHORT_LIMIT).await;
        }
    }

    /// Gives the engine a block.
    pub(super) async fn import(self, run: u64, key: BlockKey, version: WeightVersion, data: Bytes) {
        let path = format!("/kv/{key}?weight_version={version}");
        let taken = match self.request("PUT", &path, data) {
            Ok(req) => self
                .client
                .fetch(req, BLOCK_LIMIT)
                .await
                .is_ok_and(|(s, _)| s == 200),
            Err(_) => false,
        };
        self.events.post(Input::BlockImported { run, key, taken });
    }

    /// Asks the engine for a block.
    pub(super) async fn export(self, key: BlockKey) {
        let url = format!("{}/kv/{key}", self.base);
        let data = self.client.get(&url, BLOCK_LIMIT).await.ok();
        self.events.post(Input::BlockExported { key, data });
    }

    /// Orders the engine to load a version.
    pub(super) async fn load(self, fence: u64, version: WeightVersion) {
        let body = json!({"weight_version": version, "fence": fence}).to_string();
        let done = match self.request("POST", "/orders/load", body.into()) {
            Ok(req) => self
                .client
                .fetch(req, LOAD_LIMIT)
                .await
                .is_ok_and(|(s, _)| s == 200),
            Err(_) => false,
        };
        // What counts is what the engine holds now, not what was ordered.
        let held = self
            .read_load()
            .await
            .map(|load| load.version)
            .unwrap_or_default();
        self.events.post(Input::VersionLoaded {
            fence,
            version: held,
            done,
        });
    }

    async fn read_load(&self) -> Option<BackendStatus> {
        let body = self
            .client
            .get(&format!("{}/load", self.base), SHORT_LIMIT)
            .await
            .ok()?;
        let load: LoadAnswer = serde_json::from_slice(&body).ok()?;
        Some(BackendStatus {
            version: load.weight_version,
            slots: load.slots,
            prefill_rate: load.prefill_rate,
            block_bytes: load.block_bytes,
        })
    }

    async fn read_cache(&self, since: u64) -> Option<CacheAnswer> {
        let url = format!("{}/cache/events?since={since}", self.base);
        let body = self.client.get(&url, SHORT_LIMIT).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Reads load and cache events for as long as the process runs.
    pub(super) async fn watch(self) {
        let mut since = 0;
        loop {
            if let Some(load) = self.read_load().await {
                self.events.post(Input::Load(load));
            }
            if let Some(cache) = self.read_cache(since).await {
                since = cache.next;
                let keys = |texts: Vec<String>| {
                    texts
                        .iter()
                        .filter_map(|text| BlockKey::parse(text))
                        .collect::<Vec<_>>()
                };
                let (added, removed) = (keys(cache.added), keys(cache.removed));
                if cache.whole || !added.is_empty() || !removed.is_empty() {
                    self.events.post(Input::CacheEvents {
                        whole: cache.whole,
                        added,
                        removed,
                    });
                }
            }
            tokio::time::sleep(POLL_EVERY).await;
        }
    }
}
