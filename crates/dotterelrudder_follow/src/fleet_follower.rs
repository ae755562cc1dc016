//! Follows the leading control instance, whichever it is.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::FleetQuery;
use dotterelrudder_wire::FleetState;

/// How often the leader is asked; a change comes unasked, so this only bounds how old a
/// confirmation gets and how soon a lost leader is noticed.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// How long an answer may take before another instance is asked.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause before the next instance is asked when none is known to lead.
const SEARCH_DELAY: Duration = Duration::from_millis(100);
/// Questions whose times are remembered, for answers that come late.
const MAX_SENT_QUERIES: usize = 16;

/// Decides whom to ask when.
#[derive(Debug)]
pub struct FleetFollower {
    backend_server: Option<SocketAddr>,
    controls: Vec<InstanceName>,
    current: usize,
    sent_queries: VecDeque<(u64, Duration)>,
    last_query_number: u64,
    next_query_at: Duration,
    reply_due: Option<Duration>,
    in_contact: bool,
}

impl FleetFollower {
    /// Starts with the control instances that the settings name. `initial_query_number` must be larger
    /// than any number that this process used before a restart.
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

    /// Learns which control instances there are; whoever is asked now stays so.
    pub fn set_controls(&mut self, controls: Vec<InstanceName>) {
        let current = self.controls.get(self.current).cloned();
        self.controls = controls;
        let index = current.and_then(|name| self.controls.iter().position(|c| *c == name));
        self.current = index.unwrap_or(0);
    }

    /// Returns the control instances that are known.
    pub fn controls(&self) -> &[InstanceName] {
        &self.controls
    }

    /// Learns that a connection opened; a question to it before that was lost.
    pub fn opened(&mut self, now: Duration, peer: &InstanceName) {
        if self.asks() == Some(peer) && !self.in_contact {
            self.reply_due = None;
            self.next_query_at = now;
        }
    }

    /// Returns the instance that is asked now.
    pub fn asks(&self) -> Option<&InstanceName> {
        self.controls.get(self.current)
    }

    /// Returns whether the last question was answered by a leader.
    pub fn in_contact(&self) -> bool {
        self.in_contact
    }

    /// Returns the next question when it is due. `held` is the version in force
    /// here, `directory` the number of the directory of stored parts.
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
        let to = self.asks()?.clone();
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

    fn switch_to_next(&mut self, now: Duration) {
        self.reply_due = None;
        self.in_contact = false;
        self.current = (self.current + 1) % self.controls.len().max(1);
        self.next_query_at = now;
    }

    /// Takes a leader's answer or unasked news; returns when the question was asked.
    pub fn answered(&mut self, state: &FleetState) -> Option<Duration> {
        let query = self.sent_queries.iter().find(|(n, _)| *n == state.asked);
        let sent_at = query.map(|(_, at)| *at)?;
        if state.asked == self.last_query_number {
            self.reply_due = None;
            self.in_contact = true;
        }
        Some(sent_at)
    }

    /// Learns that the instance asked doesn't lead.
    pub fn elsewhere(&mut self, now: Duration, from: &InstanceName, leader: Option<&InstanceName>) {
        if self.asks() != Some(from) {
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

    /// Learns that a connection closed.
    pub fn closed(&mut self, now: Duration, peer: &InstanceName) {
        if self.asks() == Some(peer) {
            self.switch_to_next(now);
        }
    }
}
