//! Kept connections to backend servers.
//!
//! New connections cost a server's time, so the one used last is used first and the number of
//! kept ones follows the load.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use dotterelrudder_gateway::CONNECTION_MAX_IDLE;
use dotterelrudder_gateway::CONNECTION_MAX_IDLE_NOT_REPEATABLE;

use super::upstream::UpstreamConnection;

/// Taken from what the server says, so that it doesn't close while a request is on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_200);
/// Kept connections to one server at most.
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

    /// Returns whether the server still keeps it open, for as long as a request takes to it.
    fn is_usable(&self, now: Duration) -> bool {
        let server_keep_alive = self.upstream.keep_alive;
        let limit =
            server_keep_alive.map_or(CONNECTION_MAX_IDLE, |t| t.saturating_sub(KEEP_ALIVE_MARGIN));
        self.idle(now) < limit && self.upstream.is_usable()
    }
}

/// The connections that no request uses now.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    /// Bytes of an answer's head at most, and of what a server sends behind a complete answer.
    head_bytes: usize,
    idle_connections: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Starts without connections.
    pub(super) fn new(head_bytes: usize) -> Self {
        Self {
            head_bytes,
            idle_connections: Mutex::default(),
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns why no connection came about.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<UpstreamConnection, String> {
        UpstreamConnection::connect(address, self.head_bytes).await
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle_connections
            .lock()
            .unwrap_or_else(|e| e.into_inner())
    }

    /// Takes the connection used last, if one is usable.
    pub(super) fn take(
        &self,
        address: SocketAddr,
        may_repeat: bool,
        now: Duration,
    ) -> Option<UpstreamConnection> {
        let mut idle_connections = self.lock();
        let list = idle_connections.get_mut(&address)?;
        while let Some(last) = list.pop() {
            if !last.is_usable(now) {
                continue;
            }
            if !may_repeat && last.idle(now) > CONNECTION_MAX_IDLE_NOT_REPEATABLE {
                list.push(last);
                return None;
            }
            return Some(last.upstream);
        }
        None
    }

    /// Keeps a connection whose answer is complete.
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

    /// Closes the kept connections to a server that fell silent.
    pub(super) fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes connections that were idle for too long.
    pub(super) fn sweep(&self, now: Duration) {
        self.lock().retain(|_, list| {
            list.retain(|k| k.is_usable(now));
            !list.is_empty()
        });
    }
}
