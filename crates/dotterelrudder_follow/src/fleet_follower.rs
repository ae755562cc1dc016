//! Finds the leading control instance and queries it at regular intervals.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::FleetQuery;
use dotterelrudder_wire::FleetState;

/// The interval of queries to the leader. The leader sends changes without a query, so this only
/// bounds the age of a confirmation and the time until a lost leader is noticed.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// How long to wait for a reply before the next control instance is queried.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// The delay before the next control instance is queried when no leader is known.
const SEARCH_DELAY: Duration = Duration::from_millis(100);
/// The number of queries whose send times are kept, to date late replies.
const MAX_SENT_QUERIES: usize = 16;

/// Decides which control instance to query, and when.
#[derive(Debug)]
pub struct FleetFollower {
    backend_server: Option<SocketAddr>,
    controls: Vec<InstanceName>,
    /// The index in `controls` of the control instance that is queried.
    current: usize,
    /// The numbers and send times of the last queries.
    sent_queries: VecDeque<(u64, Duration)>,
    last_query_number: u64,
    next_query_at: Duration,
    reply_due: Option<Duration>,
    in_contact: bool,
}

impl FleetFollower {
    /// Creates a follower that queries the control instances from the settings. `backend_server` is
    /// the address of the backend server of a side, `None` for an entry. `initial_query_number` must
    /// be larger than any number that this process used before a restart.
    pub fn new(
        controls: Vec<InstanceName>,
        backend_server: Option<SocketAddr>,
        initial_query_number: u64,
        now: Duration,
    ) -> Self {
        Self {
            backend_server,
            controls,
            current: 0,
            sent_queries: VecDeque::new(),
            last_query_number: initial_query_number,
            next_query_at: now,
            reply_due: None,
            in_contact: false,
        }
    }

    /// Replaces the known control instances. The instance that is currently queried stays the same if
    /// it is still among them.
    pub fn set_controls(&mut self, controls: Vec<InstanceName>) {
        let current = self.controls.get(self.current).cloned();
        self.controls = controls;
        let index = current.and_then(|name| self.controls.iter().position(|c| *c == name));
        self.current = index.unwrap_or(0);
    }

    /// Returns the known control instances, including leaders that other instances named.
    pub fn controls(&self) -> &[InstanceName] {
        &self.controls
    }

    /// Handles an opened connection. If the peer is the queried instance and not yet in contact, a
    /// query that was sent before was lost, so the next one is due at once.
    pub fn opened(&mut self, now: Duration, peer: &InstanceName) {
        if self.current_control() == Some(peer) && !self.in_contact {
            self.reply_due = None;
            self.next_query_at = now;
        }
    }

    /// Returns the control instance that is currently queried.
    pub fn current_control(&self) -> Option<&InstanceName> {
        self.controls.get(self.current)
    }

    /// Returns whether a leader replied and no failure followed: a timeout, a closed connection, or a
    /// reply that names no leader.
    pub fn in_contact(&self) -> bool {
        self.in_contact
    }

    /// Returns the next query and its receiver if a query is due. `held` is the version of the
    /// configuration in force in this process, `directory` the number of its directory of stored
    /// parts.
    pub fn tick(
        &mut self,
        now: Duration,
        held: u64,
        directory: u64,
    ) -> Option<(InstanceName, FleetQuery)> {
        if self.reply_due.is_some_and(|due| now >= due) {
            self.switch_to_next(now);
        }
        if now < self.next_query_at || self.reply_due.is_some() {
            return None;
        }
        let to = self.current_control()?.clone();
        self.last_query_number += 1;
        self.next_query_at = now + QUERY_INTERVAL;
        self.reply_due = Some(now + REPLY_TIMEOUT);
        self.sent_queries.push_back((self.last_query_number, now));
        if self.sent_queries.len() > MAX_SENT_QUERIES {
            self.sent_queries.pop_front();
        }
        let query = FleetQuery {
            asked: self.last_query_number,
            held,
            directory,
            beside: self.backend_server,
        };
        Some((to, query))
    }

    /// Makes a query to the next control instance due at once.
    fn switch_to_next(&mut self, now: Duration) {
        self.reply_due = None;
        self.in_contact = false;
        self.current = (self.current + 1) % self.controls.len().max(1);
        self.next_query_at = now;
    }

    /// Handles a state from a leader, sent as a reply or because of a change. Returns when the query
    /// with the number in the state was sent, or `None` if that time is not kept.
    pub fn on_state(&mut self, state: &FleetState) -> Option<Duration> {
        let query = self.sent_queries.iter().find(|(n, _)| *n == state.asked);
        let sent_at = query.map(|(_, at)| *at)?;
        if state.asked == self.last_query_number {
            self.reply_due = None;
            self.in_contact = true;
        }
        Some(sent_at)
    }

    /// Handles a reply that `from` does not lead. Queries `leader` at once if `from` named it;
    /// otherwise queries the next control instance after a delay.
    pub fn on_not_leader(
        &mut self,
        now: Duration,
        from: &InstanceName,
        leader: Option<&InstanceName>,
    ) {
        if self.current_control() != Some(from) {
            return;
        }
        let known = leader.filter(|l| *l != from);
        if let Some(leader) = known.filter(|l| !self.controls.contains(l)) {
            self.controls.push(leader.clone());
        }
        match known.and_then(|l| self.controls.iter().position(|c| c == l)) {
            Some(index) => {
                self.reply_due = None;
                self.current = index;
                self.next_query_at = now;
            }
            None => {
                self.switch_to_next(now);
                self.next_query_at = now + SEARCH_DELAY;
            }
        }
    }

    /// Handles a closed connection. If the peer was the queried one, the next control instance is
    /// queried at once.
    pub fn closed(&mut self, now: Duration, peer: &InstanceName) {
        if self.current_control() == Some(peer) {
            self.switch_to_next(now);
        }
    }
}
