//! The stand-in for a KV cache store: slots behind a limited link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use dotterelrudder_daemon::http_server::answer;
use dotterelrudder_daemon::http_server::AnswerBody;
use http::Response;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Semaphore;

use crate::server;
use crate::server::not_found;
use crate::server::WholeRequest;

/// What the stand-in is told.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreFile {
    /// Where it listens.
    pub listen: SocketAddr,
    /// How many slots it has.
    pub slots: u32,
    /// Bytes of a slot.
    pub slot_bytes: u32,
    /// Bytes a second over its link.
    pub link_rate: f64,
}

/// Faults that can be switched on while it runs.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Refuses writes, as when it is full.
    full: bool,
    /// Keeps only the first half of each write but says that it took all.
    half_writes: bool,
    /// Gives only the first half of each read.
    half_reads: bool,
    /// Flips a bit of each read.
    flip_reads: bool,
    /// Milliseconds added to each read and write.
    slow_ms: u64,
}

#[derive(Debug)]
struct Store {
    file: StoreFile,
    slots: Mutex<Vec<Option<Bytes>>>,
    faults: Mutex<Faults>,
    link: Semaphore,
    moved: std::sync::atomic::AtomicU64,
}

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Returns what the system says when the address can't be listened at.
pub async fn run(file: StoreFile) -> Result<(), String> {
    let listen = file.listen;
    let store = Arc::new(Store {
        slots: Mutex::new(vec![None; file.slots as usize]),
        faults: Mutex::default(),
        link: Semaphore::new(1),
        moved: Default::default(),
        file,
    });
    server::serve(listen, move |req| store.clone().handle(req)).await
}

impl Store {
    fn faults(&self) -> Faults {
        self.faults
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }

    /// Takes the time that the link needs.
    async fn transfer(&self, bytes: usize) {
        let _turn = self.link.acquire().await;
        let seconds = bytes as f64 / self.file.link_rate;
        let slow = Duration::from_millis(self.faults().slow_ms);
        tokio::time::sleep(Duration::from_secs_f64(seconds) + slow).await;
        self.moved
            .fetch_add(bytes as u64, std::sync::atomic::Ordering::Relaxed);
    }

    async fn handle(self: Arc<Self>, req: WholeRequest) -> Response<AnswerBody> {
        let parts: Vec<&str> = req.path.split('/').skip(1).collect();
        match (req.method.as_str(), parts.as_slice()) {
            ("GET", ["info"]) => server::json(
                200,
                &json!({"slots": self.file.slots, "slot_bytes": self.file.slot_bytes}),
            ),
            ("GET", ["stats"]) => {
                let moved = self.moved.load(std::sync::atomic::Ordering::Relaxed);
                server::json(200, &json!({"link_bytes": moved}))
            }
            ("GET", ["slots", number]) => self.read(number).await,
            ("PUT", ["slots", number]) => self.write(number, req.body).await,
            ("POST", ["faults"]) => match serde_json::from_slice(&req.body) {
                Ok(faults) => {
                    *self.faults.lock().unwrap_or_else(|e| e.into_inner()) = faults;
                    answer(200, "text/plain", "")
                }
                Err(e) => answer(400, "text/plain", e.to_string()),
            },
            _ => not_found(),
        }
    }

    async fn read(&self, number: &str) -> Response<AnswerBody> {
        let number = number.parse::<usize>().unwrap_or(usize::MAX);
        let data = {
            let slots = self.slots.lock().unwrap_or_else(|e| e.into_inner());
            slots.get(number).cloned().flatten()
        };
        let Some(mut data) = data else {
            return not_found();
        };
        self.transfer(data.len()).await;
        let faults = self.faults();
        if faults.half_reads {
            data.truncate(data.len() / 2);
        }
        if faults.flip_reads {
            let mut bytes = data.to_vec();
            let middle = bytes.len() / 2;
            bytes[middle] ^= 1;
            data = bytes.into();
        }
        answer(200, "application/octet-stream", data)
    }

    async fn write(&self, number: &str, mut data: Bytes) -> Response<AnswerBody> {
        let number = number.parse::<usize>().unwrap_or(usize::MAX);
        let faults = self.faults();
        if faults.full || data.len() > self.file.slot_bytes as usize {
            return answer(507, "text/plain", "full\n");
        }
        self.transfer(data.len()).await;
        if faults.half_writes {
            data.truncate(data.len() / 2);
        }
        let mut slots = self.slots.lock().unwrap_or_else(|e| e.into_inner());
        match slots.get_mut(number) {
            Some(slot) => {
                *slot = Some(data);
                answer(200, "text/plain", "")
            }
            None => not_found(),
        }
    }
}
