//! The stand-in for a model engine.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_daemon::http_client::HttpClient;
use dotterelrudder_daemon::http_server::answer;
use dotterelrudder_daemon::http_server::AnswerBody;
use dotterelrudder_types::BlockKey;
use dotterelrudder_types::BLOCK_BYTES;
use dotterelrudder_types::BLOCK_TOKENS;
use dotterelrudder_types::TOKEN_BYTES;
use http::header::HeaderValue;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::answer::next_state;
use crate::answer::root_state;
use crate::answer::Continuation;
use crate::engine_cache::EngineCache;
use crate::prefill_gate::PrefillGate;
use crate::server;
use crate::server::not_found;
use crate::server::WholeRequest;

/// How long the load of weights may take.
const LOAD_LIMIT: Duration = Duration::from_secs(60);
/// Events of an answer that wait for a slow reader.
const STREAM_EVENTS: usize = 64;

/// What the stand-in is told.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineFile {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The model that it serves.
    pub model: String,
    /// The weight version that it starts with; empty for none.
    #[serde(default)]
    pub weight_version: String,
    /// The weight store.
    pub weight_store: String,
    /// Runs that it takes at once.
    pub slots: u32,
    /// Prefill rate in tokens a second.
    pub prefill_rate: f64,
    /// Milliseconds between tokens.
    pub token_ms: u64,
    /// Blocks that its cache holds.
    pub cache_blocks: usize,
    /// Bytes of an exported block.
    pub block_bytes: u32,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fencing: bool,
}

/// Faults that can be switched on while it runs.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Ends each stream after this many tokens.
    cut_after_tokens: Option<u32>,
    /// Refuses new runs.
    refuse: bool,
    /// Milliseconds added to each token.
    slow_token_ms: u64,
    /// Flips a bit of each exported block.
    flip_exports: bool,
    /// Gives cache events without the first ones that are due.
    lose_events: usize,
}

#[derive(Debug)]
struct Shared {
    version: String,
    fence: u64,
    cache: EngineCache,
    runs: HashMap<String, AbortHandle>,
    faults: Faults,
}

#[derive(Debug)]
struct Engine {
    file: EngineFile,
    shared: Mutex<Shared>,
    gate: PrefillGate,
    prefilled: AtomicU64,
    calls: AtomicU64,
    imports: AtomicU64,
    exports: AtomicU64,
    foreign_reads: AtomicU64,
    client: HttpClient,
}

#[derive(Debug, Deserialize)]
struct RunBody {
    request_id: String,
    model: String,
    prompt: String,
    max_tokens: u32,
    priority: u8,
    cache_salt: String,
}

#[derive(Debug, Deserialize)]
struct OrderBody {
    weight_version: String,
    fence: u64,
}

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Returns what the system says when the address can't be listened at.
pub async fn run(file: EngineFile) -> Result<(), String> {
    let shared = Shared {
        version: file.weight_version.clone(),
        fence: 0,
        cache: EngineCache::new(file.cache_blocks),
        runs: HashMap::new(),
        faults: Faults::default(),
    };
    let listen = file.listen;
    let engine = Arc::new(Engine {
        file,
        shared: Mutex::new(shared),
        gate: PrefillGate::default(),
        prefilled: AtomicU64::new(0),
        calls: AtomicU64::new(0),
        imports: AtomicU64::new(0),
        exports: AtomicU64::new(0),
        foreign_reads: AtomicU64::new(0),
        client: HttpClient::default(),
    });
    server::serve(listen, move |req| engine.clone().handle(req)).await
}

fn account_hash(salt: &str) -> [u8; 32] {
    *blake3::hash(salt.as_bytes()).as_bytes()
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn handle(self: Arc<Self>, req: WholeRequest) -> Response<AnswerBody> {
        let parts: Vec<&str> = req.path.split('/').skip(1).collect();
        match (req.method.as_str(), parts.as_slice()) {
            ("POST", ["v1", "completions"]) => self.complete(&req.body),
            ("POST", ["cancel", id]) => {
                if let Some(task) = self.lock().runs.remove(*id) {
                    task.abort();
                }
                answer(200, "text/plain", "")
            }
            ("GET", ["load"]) => self.load_report(),
            ("GET", ["cache", "events"]) => self.cache_events(&req),
            ("GET", ["kv", key]) => self.export(key),
            ("PUT", ["kv", key]) => self.import(key, &req),
            ("POST", ["orders", "load"]) => self.load_weights(&req.body).await,
            ("POST", ["evict"]) => {
                self.lock().cache.clear();
                answer(200, "text/plain", "")
            }
            ("POST", ["faults"]) => match serde_json::from_slice(&req.body) {
                Ok(faults) => {
                    self.lock().faults = faults;
                    answer(200, "text/plain", "")
                }
                Err(e) => answer(400, "text/plain", e.to_string()),
            },
            ("GET", ["stats"]) => self.stats(),
            _ => not_found(),
        }
    }

    fn load_report(&self) -> Response<AnswerBody> {
        server::json(
            200,
            &json!({
                "weight_version": self.lock().version,
                "slots": self.file.slots,
                "prefill_rate": self.file.prefill_rate,
                "block_bytes": self.file.block_bytes,
            }),
        )
    }

    fn stats(&self) -> Response<AnswerBody> {
        let count = |n: &AtomicU64| n.load(Ordering::Relaxed);
        let shared = self.lock();
        server::json(
            200,
            &json!({
                "weight_version": shared.version,
                "fence": shared.fence,
                "cached_blocks": shared.cache.len(),
                "running": shared.runs.len(),
                "calls": count(&self.calls),
                "prefilled_tokens": count(&self.prefilled),
                "imports": count(&self.imports),
                "exports": count(&self.exports),
                "foreign_reads": count(&self.foreign_reads),
            }),
        )
    }

    fn cache_events(&self, req: &WholeRequest) -> Response<AnswerBody> {
        let since = req
            .parameter("since")
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let mut shared = self.lock();
        let mut changes = shared.cache.changes_since(since);
        let lost = shared.faults.lose_events.min(changes.added.len());
        shared.faults.lose_events -= lost;
        changes.added.drain(..lost);
        let texts = |keys: Vec<BlockKey>| keys.iter().map(ToString::to_string).collect::<Vec<_>>();
        server::json(
            200,
            &json!({
                "next": changes.next,
                "whole": changes.whole,
                "added": texts(changes.added),
                "removed": texts(changes.removed),
            }),
        )
    }

    fn export(&self, key: &str) -> Response<AnswerBody> {
        let mut shared = self.lock();
        let Some(block) = BlockKey::parse(key).and_then(|key| shared.cache.get(&key)) else {
            return not_found();
        };
        self.exports.fetch_add(1, Ordering::Relaxed);
        let mut data = vec![0; (self.file.block_bytes as usize).max(64)];
        data[..32].copy_from_slice(&block.state);
        data[32..64].copy_from_slice(&block.account);
        if shared.faults.flip_exports {
            data[0] ^= 1;
        }
        answer(200, "application/octet-stream", data)
    }

    fn import(&self, key: &str, req: &WholeRequest) -> Response<AnswerBody> {
        let mut shared = self.lock();
        let same_version = req.parameter("weight_version") == Some(shared.version.as_str());
        let (Some(key), Some(state), Some(account)) = (
            BlockKey::parse(key),
            req.body.first_chunk::<32>(),
            req.body.get(32..64).and_then(|b| b.first_chunk::<32>()),
        ) else {
            return answer(400, "text/plain", "not a block\n");
        };
        if !same_version {
            return answer(409, "text/plain", "another weight version\n");
        }
        self.imports.fetch_add(1, Ordering::Relaxed);
        shared.cache.insert(key, *state, *account);
        answer(200, "text/plain", "")
    }

    async fn load_weights(&self, body: &[u8]) -> Response<AnswerBody> {
        let order: OrderBody = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(e) => return answer(400, "text/plain", e.to_string()),
        };
        {
            let mut shared = self.lock();
            if self.file.fencing && order.fence < shared.fence {
                return answer(409, "text/plain", "old fencing number\n");
            }
            shared.fence = shared.fence.max(order.fence);
        }
        let (store, model) = (&self.file.weight_store, &self.file.model);
        let url = format!("{store}/weights/{model}/{}", order.weight_version);
        if let Err(e) = self.client.get(&url, LOAD_LIMIT).await {
            return answer(502, "text/plain", e.detail);
        }
        let mut shared = self.lock();
        shared.version = order.weight_version;
        shared.cache.clear();
        answer(200, "text/plain", "")
    }

    fn complete(self: Arc<Self>, body: &[u8]) -> Response<AnswerBody> {
        let run: RunBody = match serde_json::from_slice(body) {
            Ok(run) => run,
            Err(e) => return answer(400, "text/plain", e.to_string()),
        };
        let mut shared = self.lock();
        let version = shared.version.clone();
        if shared.faults.refuse || version.is_empty() || run.model != self.file.model {
            return answer(503, "text/plain", "refused\n");
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::channel(STREAM_EVENTS);
        let id = run.request_id.clone();
        let task = tokio::spawn(self.clone().generate(run, version.clone(), tx));
        shared.runs.insert(id, task.abort_handle());
        drop(shared);
        let frames = ReceiverStream(rx);
        let mut response = answer(200, "text/event-stream", "");
        *response.body_mut() = StreamBody::new(frames).boxed();
        if let Ok(value) = HeaderValue::from_str(&version) {
            response.headers_mut().insert("x-weight-version", value);
        }
        response
    }

    async fn generate(
        self: Arc<Self>,
        run: RunBody,
        version: String,
        tx: mpsc::Sender<Result<Frame<Bytes>, Infallible>>,
    ) {
        let text = run.prompt.as_bytes();
        let (mut continuation, cached) = self.prefill(&run, &version).await;
        let send = |event: String| tx.send(Ok(Frame::data(Bytes::from(event))));
        let mut answered = String::new();
        for number in 0..run.max_tokens {
            let faults = self.lock().faults.clone();
            if faults.cut_after_tokens == Some(number) {
                self.lock().runs.remove(&run.request_id);
                return;
            }
            let pause = self.file.token_ms + faults.slow_token_ms;
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let token = continuation.next_token();
            answered.push_str(&token);
            if send(format!("data: {}\n\n", json!({"text": token})))
                .await
                .is_err()
            {
                break;
            }
        }
        let whole = [text, answered.as_bytes()].concat();
        self.keep_blocks(&run, &version, &whole);
        let usage = json!({"usage": {
            "prompt_tokens": text.len().div_ceil(TOKEN_BYTES),
            "completion_tokens": run.max_tokens,
            "cached_tokens": cached,
        }});
        let _gone = send(format!("data: {usage}\n\ndata: [DONE]\n\n"))
            .await
            .is_err();
        self.lock().runs.remove(&run.request_id);
    }

    /// Computes the state after the prompt, from cached blocks as far as there are any.
    async fn prefill(&self, run: &RunBody, version: &str) -> (Continuation, usize) {
        let text = run.prompt.as_bytes();
        let account = run.cache_salt.as_str().into();
        let keys = BlockKey::chain(&account, &run.model, &version.into(), text);
        let mut state = root_state(&run.model, version);
        let mut cached = 0;
        if self.lock().version == version {
            for key in &keys {
                let Some(block) = self.lock().cache.get(key) else {
                    break;
                };
                if block.account != account_hash(&run.cache_salt) {
                    self.foreign_reads.fetch_add(1, Ordering::Relaxed);
                }
                state = block.state;
                cached += 1;
            }
        }
        let tokens = text.len().div_ceil(TOKEN_BYTES) - cached * BLOCK_TOKENS;
        let turn = self.gate.enter(run.priority).await;
        tokio::time::sleep(Duration::from_secs_f64(
            tokens as f64 / self.file.prefill_rate,
        ))
        .await;
        drop(turn);
        self.prefilled.fetch_add(tokens as u64, Ordering::Relaxed);
        let continuation = Continuation::new(state, &text[cached * BLOCK_BYTES..]);
        self.keep_blocks(run, version, text);
        (continuation, cached * BLOCK_TOKENS)
    }

    /// Keeps the whole blocks of a text that the cache lacks.
    fn keep_blocks(&self, run: &RunBody, version: &str, text: &[u8]) {
        let account = run.cache_salt.as_str().into();
        let keys = BlockKey::chain(&account, &run.model, &version.into(), text);
        let mut shared = self.lock();
        if shared.version != version {
            return;
        }
        let mut state = root_state(&run.model, version);
        for (key, block) in keys.into_iter().zip(text.chunks_exact(BLOCK_BYTES)) {
            // The state that a held block carries goes on, right or wrong.
            state = match shared.cache.get(&key) {
                Some(held) => held.state,
                None => next_state(&state, block),
            };
            shared
                .cache
                .insert(key, state, account_hash(&run.cache_salt));
        }
    }
}

/// Turns a channel into the stream that a body is made of.
struct ReceiverStream(mpsc::Receiver<Result<Frame<Bytes>, Infallible>>);

impl futures_core::Stream for ReceiverStream {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}
