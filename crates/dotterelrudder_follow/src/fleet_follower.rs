//! Follows the leading control instance, whichever it is.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelrudder_types::InstanceName;
use dotterelrudder_wire::FleetQuery;
use dotterelrudder_wire::FleetState;

/// How often the leader is asked; a change comes unasked, so this only bounds how old a
/// confirmation gets and how soon a lost leader is noticed.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// How long an answer may take before another instance is asked.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// The pause before the next instance is asked when none is known to lead.
const SEARCH_PAUSE: Duration = Duration::from_millis(100);
/// Questions whose times are remembered, for answers that come late.
const QUESTIONS_KEPT: usize = 16;

/// Decides whom to ask when.
#[derive(Debug)]
pub struct FleetFollower {
    beside: Option<SocketAddr>,
    controls: Vec<InstanceName>,
    current: usize,
    questions: VecDeque<(u64, Duration)>,
    number: u64,
    ask_at: Duration,
    answer_due: Option<Duration>,
    in_contact: bool,
}

impl FleetFollower {
    /// Starts with the control instances that the settings name. `first_number` must be larger
    /// than any number that this process used before a restart.
    pub fn new(
        controls: Vec<InstanceName>,
        beside: Option<SocketAddr>,
        first_number: u64,
        now: Duration,
    ) -> Self {
        Self {
            beside,
            controls,
            current: 0,
            questions: VecDeque::new(),
            number: first_number,
            ask_at: now,
            answer_due: None,
            in_contact: false,
        }
    }

    /// Learns which control instances there are; whoever is asked now stays so.
    pub fn set_controls(&mut self, controls: Vec<InstanceName>) {
        let asked = self.controls.get(self.current).cloned();
        self.controls = controls;
        let place = asked.and_then(|name| self.controls.iter().position(|c| *c == name));
        self.current = place.unwrap_or(0);
    }

    /// Returns the control instances that are known.
    pub fn controls(&self) -> &[InstanceName] {
        &self.controls
    }

    /// Learns that a connection opened; a question to it before that was lost.
    pub fn opened(&mut self, now: Duration, peer: &InstanceName) {
        if self.asks() == Some(peer) && !self.in_contact {
            self.answer_due = None;
            self.ask_at = now;
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
        if self.answer_due.is_some_and(|due| now >= due) {
            self.ask_next(now);
        }
        if now < self.ask_at || self.answer_due.is_some() {
            return None;
        }
        let to = self.asks()?.clone();
        self.number += 1;
        self.ask_at = now + ASK_EVERY;
        self.answer_due = Some(now + ANSWER_LIMIT);
        self.questions.push_back((self.number, now));
        if self.questions.len() > QUESTIONS_KEPT {
            self.questions.pop_front();
        }
        let query = FleetQuery {
            asked: self.number,
            held,
            directory,
            beside: self.beside,
        };
        Some((to, query))
    }

    fn ask_next(&mut self, now: Duration) {
        self.answer_due = None;
        self.in_contact = false;
        self.current = (self.current + 1) % self.controls.len().max(1);
        self.ask_at = now;
    }

    /// Takes a leader's answer or unasked news; returns when the question was asked.
    pub fn answered(&mut self, state: &FleetState) -> Option<Duration> {
        let question = self.questions.iter().find(|(n, _)| *n == state.asked);
        let asked_at = question.map(|(_, at)| *at)?;
        if state.asked == self.number {
            self.answer_due = None;
            self.in_contact = true;
        }
        Some(asked_at)
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
            Some(place) => {
                self.answer_due = None;
                self.current = place;
                self.ask_at = now;
            }
            None => {
                self.ask_next(now);
                self.ask_at = now + SEARCH_PAUSE;
            }
        }
    }

    /// Learns that a connection closed.
    pub fn closed(&mut self, now: Duration, peer: &InstanceName) {
        if self.asks() == Some(peer) {
            self.ask_next(now);
        }
    }
}
