//! The state machine of the entry role: dispatches events, reports demand, tracks connections.
//!
//! `admission` decides whether a request is accepted, `placement` which runner it goes to, and
//! `attempts` what follows a chunk, a refusal, a lost connection or a timeout.

mod admission;
mod attempts;
mod placement;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_follow::ConfigFollower;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Outcome;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::Revision;
use dotterelrudder_types::Role;
use dotterelrudder_wire::Message;

use crate::request::Request;
use crate::AccountLimits;
use crate::AnswerEvent;
use crate::Input;
use crate::Output;
use crate::RetryBudget;
use crate::RoutingPolicy;
use crate::RunnerState;
use crate::RunnerTable;

/// The settings of an entry, fixed at its start.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The name of this instance.
    pub name: InstanceName,
    /// The names of the control instances.
    pub controls: Vec<InstanceName>,
    /// A random number drawn at each start, so that attempt ids of two starts differ.
    pub incarnation: u64,
    /// The policy by which runners are chosen.
    pub policy: RoutingPolicy,
}

/// The entry role as a state machine without input or output: [`EntryCore::handle`] takes each
/// event with the current time and emits the effects to carry out.
#[derive(Debug)]
pub struct EntryCore {
    pub(crate) settings: EntrySettings,
    pub(crate) follower: ConfigFollower,
    pub(crate) runners: RunnerTable,
    /// The requests in progress, by the id that the driver gave each of them.
    pub(crate) requests: BTreeMap<u64, Request>,
    /// The request of each running attempt.
    pub(crate) request_by_attempt: HashMap<AttemptId, u64>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) account_limits: AccountLimits,
    /// The sequence number of the next attempt.
    next_sequence: u64,
    /// Whether a graceful shutdown has begun.
    leaving: bool,
    /// Whether [`Output::Exit`] was emitted, which happens once.
    exit_requested: bool,
}

impl EntryCore {
    /// Creates an entry that has no configuration and no connections yet.
    pub fn new(settings: EntrySettings) -> Self {
        Self {
            follower: ConfigFollower::new(settings.controls.clone()),
            settings,
            runners: RunnerTable::default(),
            requests: BTreeMap::new(),
            request_by_attempt: HashMap::new(),
            retry_budget: RetryBudget::default(),
            account_limits: AccountLimits::default(),
            next_sequence: 1,
            leaving: false,
            exit_requested: false,
        }
    }

    /// Returns the revision of the configuration in force at this entry.
    pub fn revision(&self) -> Revision {
        self.follower.revision()
    }

    /// Returns whether the platform's load balancer may send new requests to this entry: control
    /// has confirmed its configuration and it is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.follower.is_confirmed() && !self.leaving
    }

    /// Returns the number of requests in progress.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Handles one event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Request {
                id,
                key,
                target,
                time_limit,
                idempotency_key,
            } => {
                let deadline = now + time_limit;
                if let Err(refusal) = self.admit(id, key, target, deadline, idempotency_key, now) {
                    out.push(Output::Respond {
                        id,
                        event: AnswerEvent::Refused(refusal),
                    });
                } else {
                    self.retry_budget.deposit();
                    self.place(id, now, out);
                }
            }
            Input::CallerGone { id } => self.on_caller_gone(id, out),
            Input::Opened {
                peer,
                role,
                incarnation,
            } => {
                self.on_opened(peer, role, incarnation, now, out);
            }
            Input::Closed { peer } => self.on_closed(&peer, now),
            Input::Message {
                from,
                revision,
                message,
            } => {
                self.on_message(from, revision, message, now, out);
            }
            Input::Listed { entries, leaving } => {
                self.account_limits.set_entry_count(entries);
                self.runners.set_listed_leaving(&leaving);
            }
            Input::Stop => self.leaving = true,
        }
        if self.leaving && self.requests.is_empty() && !self.exit_requested {
            self.exit_requested = true;
            out.push(Output::Exit);
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut sends = Vec::new();
        self.follower.tick(now, &mut sends);
        out.extend(
            sends
                .into_iter()
                .map(|(to, message)| Output::Send { to, message }),
        );
        self.send_demand(now, out);
        self.check_timeouts(now, out);
    }

    /// Reports each client account's request rate to the control instance that rendezvous hashing
    /// selects for the account, so that one control instance has the reports of all entries on it.
    fn send_demand(&mut self, now: Duration, out: &mut Vec<Output>) {
        let controls = self.follower.reachable_controls();
        let mut by_control: BTreeMap<InstanceName, Vec<(ClientAccount, f32)>> = BTreeMap::new();
        for (account, rate) in self.account_limits.demand_report(now) {
            let preferred = controls
                .iter()
                .max_by_key(|c| hash_score(account.as_str(), c.as_str()));
            if let Some(preferred) = preferred {
                by_control
                    .entry(preferred.clone())
                    .or_default()
                    .push((account, rate));
            }
        }
        let sends = by_control.into_iter();
        out.extend(sends.map(|(to, rows)| Output::Send {
            to,
            message: Message::Demand(rows),
        }));
    }

    fn on_opened(
        &mut self,
        peer: InstanceName,
        role: Role,
        incarnation: u64,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let mut sends = Vec::new();
        self.follower.opened(&peer, &mut sends);
        out.extend(
            sends
                .into_iter()
                .map(|(to, message)| Output::Send { to, message }),
        );
        if role != Role::Side {
            return;
        }
        let key = self.runners.insert(peer.clone());
        if let Some(runner) = self.runners.get_mut(key) {
            runner.connected = true;
            if runner.incarnation != incarnation {
                *runner = RunnerState::new(peer.clone());
                runner.incarnation = incarnation;
                runner.connected = true;
            }
        }
        self.query_attempts_after_reconnect(&peer, incarnation, now, out);
    }

    /// Ends a request with a refusal, with an unknown outcome if any of its attempts may have run.
    pub(crate) fn refuse(&mut self, id: u64, mut refusal: Refusal, out: &mut Vec<Output>) {
        if self.requests.get(&id).is_some_and(|r| r.may_have_run) {
            refusal = refusal.with_outcome(Outcome::Unknown);
        }
        self.remove_request(id);
        out.push(Output::Respond {
            id,
            event: AnswerEvent::Refused(refusal),
        });
    }

    /// Removes a request, so that late messages of its attempts are ignored.
    pub(crate) fn remove_request(&mut self, id: u64) {
        if let Some(request) = self.requests.remove(&id) {
            if let Some(current) = request.current {
                self.request_by_attempt.remove(&current.id);
            }
        }
    }
}

/// Returns the score of a candidate for rendezvous hashing; the highest score wins.
fn hash_score(key: &str, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(candidate.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
