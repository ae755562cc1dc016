//! Pool of idle connections to backend servers.
//!
//! Opening a connection costs the server time. The connection used last is reused first, so that
//! the others expire and the number of idle connections follows the load.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use dotterelrudder_gateway::CONNECTION_MAX_IDLE;
use dotterelrudder_gateway::CONNECTION_MAX_IDLE_NOT_REPEATABLE;

use super::upstream::UpstreamConnection;

/// Subtracted from the keep-alive time that the server states, so that the server does not close
/// the connection while a request is in transit.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_200);
/// The maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 12;

#[derive(Debug)]
struct IdleConnection {
    upstream: UpstreamConnection,
    since: Duration,
}

impl IdleConnection {
    fn idle(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Returns whether the server will keep the connection open until a request reaches it.
    fn is_usable(&self, now: Duration) -> bool {
        let server_keep_alive = self.upstream.keep_alive;
        let limit =
            server_keep_alive.map_or(CONNECTION_MAX_IDLE, |t| t.saturating_sub(KEEP_ALIVE_MARGIN));
        self.idle(now) < limit && self.upstream.is_usable()
    }
}

/// An idle connection that was taken from the pool.
#[derive(Debug, Default)]
pub(super) struct TakenConnection {
    /// The connection; `None` if there was none to use.
    pub(super) upstream: Option<UpstreamConnection>,
    /// Whether connections were found that the server had closed.
    pub(super) found_closed: bool,
}

/// The open connections that no request uses.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    /// The maximum size of a response head, and of data that a server sends after a complete
    /// response, in bytes.
    head_bytes: usize,
    idle_connections: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub(super) fn new(head_bytes: usize) -> Self {
        Self {
            head_bytes,
            idle_connections: Mutex::default(),
        }
    }

    /// Opens a connection to a server.
    ///
    /// # Errors
    ///
    /// Returns the cause if the connection could not be opened.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<UpstreamConnection, String> {
        UpstreamConnection::connect(address, self.head_bytes).await
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle_connections
            .lock()
            .unwrap_or_else(|e| e.into_inner())
    }

    /// Takes the connection used last, if one is usable. A request that must not be repeated only
    /// gets a connection that was used recently.
    pub(super) fn take(
        &self,
        address: SocketAddr,
        may_repeat: bool,
        now: Duration,
    ) -> TakenConnection {
        let mut taken = TakenConnection::default();
        let mut idle_connections = self.lock();
        let Some(list) = idle_connections.get_mut(&address) else {
            return taken;
        };
        while let Some(last) = list.pop() {
            if !last.is_usable(now) {
                taken.found_closed |= !last.upstream.is_usable();
                continue;
            }
            if !may_repeat && last.idle(now) > CONNECTION_MAX_IDLE_NOT_REPEATABLE {
                list.push(last);
                return taken;
            }
            taken.upstream = Some(last.upstream);
            return taken;
        }
        taken
    }

    /// Returns a connection to the pool after a complete response.
    pub(super) fn put_back(&self, upstream: UpstreamConnection, now: Duration) {
        let mut idle_connections = self.lock();
        let list = idle_connections.entry(upstream.address).or_default();
        if list.len() < MAX_IDLE_PER_SERVER {
            list.push(IdleConnection {
                upstream,
                since: now,
            });
        }
    }

    /// Closes the idle connections to a server that may be unreachable.
    pub(super) fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes connections that were idle for too long or that the server closed.
    pub(super) fn sweep(&self, now: Duration) {
        self.lock().retain(|_, list| {
            list.retain(|k| k.is_usable(now));
            !list.is_empty()
        });
    }
}
