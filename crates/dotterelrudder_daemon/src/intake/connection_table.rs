//! The connections at one port.

use std::collections::BTreeMap;
use std::time::Duration;

/// The decision on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accept {
    /// The connection is accepted under this id.
    Accepted(u64),
    /// The connection is accepted under the first id; the one with the second id is closed for it.
    Instead(u64, u64),
    /// Every connection has a request in progress; the new one is closed.
    Full,
}

/// The connections at one port, within a limit on their number.
///
/// When the limit is reached, the connection that is longest without a request in progress is closed
/// for a new one: it is idle, or has not sent a complete head.
#[derive(Debug)]
pub struct ConnectionTable {
    limit: usize,
    /// Since when each connection is without a request; none while it has one.
    connections: BTreeMap<u64, Option<Duration>>,
    next_id: u64,
}

impl ConnectionTable {
    /// Builds an empty table.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            connections: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Decides on a new connection.
    pub fn accept(&mut self, now: Duration) -> Accept {
        let mut replaced = None;
        if self.connections.len() >= self.limit {
            let idle = self.connections.iter();
            let idle = idle.filter_map(|(id, since)| since.map(|since| (since, *id)));
            let Some((_, id)) = idle.min() else {
                return Accept::Full;
            };
            self.connections.remove(&id);
            replaced = Some(id);
        }
        self.next_id += 1;
        let id = self.next_id;
        self.connections.insert(id, Some(now));
        replaced.map_or(Accept::Accepted(id), |old| Accept::Instead(id, old))
    }

    /// Records that a request begins on a connection.
    pub fn begin(&mut self, id: u64) {
        if let Some(since) = self.connections.get_mut(&id) {
            *since = None;
        }
    }

    /// Records that the request on a connection ended.
    pub fn end(&mut self, now: Duration, id: u64) {
        if let Some(since) = self.connections.get_mut(&id) {
            *since = Some(now);
        }
    }

    /// Removes a connection that was closed.
    pub fn close(&mut self, id: u64) {
        self.connections.remove(&id);
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
