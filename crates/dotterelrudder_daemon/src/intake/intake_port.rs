//! The connections at one port, and their requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use http::Extensions;
use http::Response;
use tokio::sync::Notify;

use super::Accept;
use super::ByteLease;
use super::ConnectionTable;
use super::HoldingPhase;
use super::IntakeGate;
use super::TrackedBody;

struct Table {
    decisions: ConnectionTable,
    /// Notified when a connection is to be closed, by its id.
    closes: HashMap<u64, Arc<Notify>>,
}

struct Inner {
    gate: IntakeGate,
    name: &'static str,
    table: Mutex<Table>,
}

/// The intake of one port; clones share it.
#[derive(Clone)]
pub struct IntakePort {
    inner: Arc<Inner>,
}

impl std::fmt::Debug for IntakePort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("IntakePort")
            .field("name", &self.inner.name)
            .finish()
    }
}

impl IntakePort {
    /// Builds the intake of a port with a limit on its connections; `name` is of a closed list.
    pub fn new(gate: IntakeGate, name: &'static str, connections: usize) -> Self {
        let table = Table {
            decisions: ConnectionTable::new(connections),
            closes: HashMap::new(),
        };
        let inner = Inner {
            gate,
            name,
            table: Mutex::new(table),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.inner.table.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Decides on a new connection; none if it is to be closed.
    pub fn accept(&self) -> Option<CallerConnection> {
        let gate = &self.inner.gate;
        let close = Arc::new(Notify::new());
        let (accepted, open) = {
            let mut table = self.table();
            let accepted = table.decisions.accept(gate.now());
            if let Accept::Accepted(id) | Accept::Instead(id, _) = accepted {
                table.closes.insert(id, close.clone());
            }
            if let Accept::Instead(_, old) = accepted {
                if let Some(old) = table.closes.remove(&old) {
                    old.notify_one();
                }
            }
            (accepted, table.decisions.len())
        };
        gate.set_connections(self.inner.name, open);
        let id = match accepted {
            Accept::Accepted(id) => id,
            Accept::Instead(id, _) => {
                gate.report_refusal("idle_connection", "closed for a new connection");
                id
            }
            Accept::Full => {
                gate.report_refusal("connections", "too many connections with requests");
                gate.cut_stalled("no connection is free");
                return None;
            }
        };
        let port = self.clone();
        Some(CallerConnection {
            open: Arc::new(OpenConnection { port, id, close }),
        })
    }
}

struct OpenConnection {
    port: IntakePort,
    id: u64,
    close: Arc<Notify>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut table = self.port.table();
        table.decisions.close(self.id);
        table.closes.remove(&self.id);
    }
}

/// One accepted connection; clones share it. It stays counted until the last one is dropped.
#[derive(Clone)]
pub struct CallerConnection {
    open: Arc<OpenConnection>,
}

impl std::fmt::Debug for CallerConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerConnection")
            .field("id", &self.open.id)
            .finish()
    }
}

impl CallerConnection {
    /// Returns the connection of a request, from the extensions of its head.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request came from no port of this process.
    pub fn of(extensions: &Extensions) -> Result<Self, Refusal> {
        let connection = extensions.get::<Self>().cloned();
        connection.ok_or_else(|| {
            let detail = "the request has no connection";
            Refusal::new(ErrorKind::Overloaded, detail)
        })
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.open.close.notified().await;
    }

    /// Records that a request begins on the connection.
    pub fn begin_request(&self) -> RequestGuard {
        self.open.port.table().decisions.begin(self.open.id);
        RequestGuard {
            connection: self.clone(),
        }
    }

    /// Opens a holding for a request on the connection.
    pub fn open_holding(&self, account: &str, phase: HoldingPhase) -> ByteLease {
        let gate = &self.open.port.inner.gate;
        gate.open(account, phase, self.open.close.clone())
    }
}

/// A request on a connection, which ends when the guard is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    connection: CallerConnection,
}

impl RequestGuard {
    /// Keeps the request in progress until the response was sent or dropped.
    pub fn track<B>(self, response: Response<B>) -> Response<TrackedBody<B>> {
        response.map(|body| TrackedBody::new(body, self))
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let open = &self.connection.open;
        let now = open.port.inner.gate.now();
        open.port.table().decisions.end(now, open.id);
    }
}
