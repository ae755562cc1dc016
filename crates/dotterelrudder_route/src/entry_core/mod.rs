//! The entry role behind one interface: admission and placement.

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

/// What an entry is sends at its start.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The instance's name.
    pub name: InstanceName,
    /// The control instances.
    pub controls: Vec<InstanceName>,
    /// A random number that differs at each start.
    pub incarnation: u64,
    /// How runners are chosen.
    pub policy: RoutingPolicy,
}

/// The entry role without input or output.
#[derive(Debug)]
pub struct EntryCore {
    pub(crate) settings: EntrySettings,
    pub(crate) follower: ConfigFollower,
    pub(crate) runners: RunnerTable,
    pub(crate) requests: BTreeMap<u64, Request>,
    pub(crate) request_by_attempt: HashMap<AttemptId, u64>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) account_limits: AccountLimits,
    next_sequence: u64,
    leaving: bool,
    exit_requested: bool,
}

impl EntryCore {
    /// Starts the role.
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

    /// Returns the revision in force here.
    pub fn revision(&self) -> Revision {
        self.follower.revision()
    }

    /// Returns whether the platform's balancer may send new requests here.
    pub fn is_ready(&self) -> bool {
        self.follower.is_confirmed() && !self.leaving
    }

    /// Returns the requests in work.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Takes one event and appends what it leads to.
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

    /// Tells each client account's demand to the control instance that hashing names for it, so
    /// that all entries' words on one account meet there.
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

    /// Ends a request without an answer.
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

    /// Drops a request; late messages of its attempts then find nothing.
    pub(crate) fn remove_request(&mut self, id: u64) {
        if let Some(request) = self.requests.remove(&id) {
            if let Some(current) = request.current {
                self.request_by_attempt.remove(&current.id);
            }
        }
    }
}

/// Scores a candidate for rendezvous hashing by name.
fn hash_score(key: &str, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(candidate.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
