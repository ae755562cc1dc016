//! The waiting requests of one service, their order, and when they can expect capacity.

use std::time::Duration;

use crate::AccountShares;
use crate::AdmissionVerdict;
use crate::CapacityDemand;
use crate::CapacityRate;
use crate::RefusalCause;
use crate::RoomRule;

/// The share of the placed work, from 0 to 1, that less urgent requests get once one of them has waited
/// for half of its time. It is what they cost the more urgent ones at most.
const TURN_SHARE: f64 = 0.125;
/// The share of its time, from 0 to 1, after which a request may get a turn.
const TURN_AGE: f64 = 0.5;
/// How long a request whose turn has come holds back all others of this entry. Runners place and end
/// several requests in this time.
const TURN_TIME: Duration = Duration::from_millis(100);
/// The share of its time, from 0 to 1, after which a waiting request is no longer refused before the
/// end: the wait has then cost its caller everything.
const SUNK_AGE: f64 = 0.75;
/// How many times longer than the time left the expected wait must be for a refusal. Refusing what would
/// have been served costs more than holding some that aren't; docs/design/admission-by-cost.md has the
/// trials.
const REFUSAL_FACTOR: u32 = 2;
/// How long after a request found no capacity less urgent ones still yield to its kind.
const YIELD_TIME: Duration = Duration::from_millis(1_000);
/// How long after the last waiting request a shortage is remembered.
const MEMORY_TIME: Duration = Duration::from_millis(2_000);
/// How many times the work of a request another one of its urgency may need to hold it back. Within a
/// kind, sizes differ by about this much: if small ones passed, none of the large ones would be in
/// time. Between kinds they differ by more, and room for the small one is no room for the large one.
const BLOCKING_RATIO: f64 = 4.0;
/// The longest wait that is expected.
const MAX_EXPECTED: Duration = Duration::from_secs(60);
/// The lowest rate that is assumed, in work per second.
const MIN_RATE: f64 = 1e-3;
/// The number of urgencies that are told apart.
const URGENCIES: usize = 9;

/// A request that waits.
#[derive(Debug)]
struct Waiting {
    ticket: u64,
    demand: CapacityDemand,
    /// The round of its account. It is kept here since every poll of a request compares all that wait.
    round: u64,
}

/// The place of a request in the order; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    /// Whether it isn't the request whose turn has come.
    waits_for_turn: bool,
    urgency: u8,
    /// The round of its account.
    round: u64,
    is_late: bool,
    arrived: Duration,
    ticket: u64,
}

/// The shortage of one service at this entry.
#[derive(Debug)]
pub(crate) struct ServiceShortage {
    waiting: Vec<Waiting>,
    rate: CapacityRate,
    shares: AccountShares,
    /// The work that the next turn may take.
    turn_credit: f64,
    /// The request whose turn it is, and until when.
    turn: Option<(u64, Duration)>,
    /// When a request of each urgency last found no capacity.
    short_at: [Option<Duration>; URGENCIES],
    /// When the last waiting request left.
    emptied_at: Duration,
}

impl ServiceShortage {
    /// Creates the state of a service without waiting requests.
    pub(crate) fn new(now: Duration, capacity: f64) -> Self {
        Self {
            waiting: Vec::new(),
            rate: CapacityRate::new(now, capacity),
            shares: AccountShares::default(),
            turn_credit: 0.0,
            turn: None,
            short_at: [None; URGENCIES],
            emptied_at: now,
        }
    }

    /// Returns which room a request may take now; none if others go before it. `ticket` is `None` for a
    /// request that does not wait.
    pub(crate) fn may_try(
        &mut self,
        now: Duration,
        ticket: Option<u64>,
        demand: &CapacityDemand,
    ) -> Option<RoomRule> {
        self.update_turn(now);
        let own = self.position(now, ticket, demand);
        if self.before(now, &own, demand).next().is_some() {
            return None;
        }
        let more_urgent = &self.short_at[..usize::from(demand.urgency).min(URGENCIES)];
        let yields = more_urgent
            .iter()
            .flatten()
            .any(|at| now < *at + YIELD_TIME);
        // A late response is worth less than the time that it costs those behind it at the runner.
        let yields = yields || own.is_late;
        Some(match (own.waits_for_turn, yields) {
            (false, _) => RoomRule::Due,
            (true, true) => RoomRule::Yielding,
            (true, false) => RoomRule::Usual,
        })
    }

    /// Decides what a request does that found no capacity. `capacity` is the estimated rate at which
    /// the open runners free capacity for this entry, in work per second.
    pub(crate) fn judge(
        &mut self,
        now: Duration,
        ticket: Option<u64>,
        demand: &CapacityDemand,
        capacity: f64,
    ) -> AdmissionVerdict {
        self.short_at[usize::from(demand.urgency).min(URGENCIES - 1)] = Some(now);
        if !self.waiting.is_empty() {
            self.rate.observe(now, capacity);
        }
        let (expected, ahead) = self.expected_wait(now, ticket, demand);
        let left = demand.latest_start.saturating_sub(now);
        let refuse = |cause| AdmissionVerdict::Refuse {
            cause,
            expected,
            ahead,
        };
        if left.is_zero() {
            return refuse(RefusalCause::TimePassed);
        }
        // The first in the order waits in any case, so that a wrong rate can't refuse requests while
        // there is capacity.
        let may_refuse = ahead > 0 && (demand.is_new(now) || !demand.is_returning());
        let may_refuse = may_refuse && demand.age(now) < SUNK_AGE;
        if may_refuse && expected > left * REFUSAL_FACTOR {
            return refuse(RefusalCause::NoCapacityInTime);
        }
        AdmissionVerdict::Wait { expected, ahead }
    }

    /// Returns the time until a request can expect capacity, and the number of requests before it. If
    /// that is too late for its objective, later ones that are still in time go before it. These don't
    /// count for a caller that was refused and has come back, so that it isn't refused in favour of them.
    fn expected_wait(
        &self,
        now: Duration,
        ticket: Option<u64>,
        demand: &CapacityDemand,
    ) -> (Duration, usize) {
        let own = self.position(now, ticket, demand);
        let wait = |own: &Position| {
            let is_returning = demand.is_returning();
            let counts = |w: &&Waiting| !is_returning || w.demand.arrived <= demand.arrived;
            let before = self.before(now, own, demand).filter(counts);
            let before = before.fold((0, 0.0), |(n, work), w| (n + 1, work + w.demand.work));
            let rate = self.rate.left_for(own.urgency, own.is_late).max(MIN_RATE);
            let seconds = (before.1 + demand.work) / rate;
            let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_EXPECTED);
            (wait.min(MAX_EXPECTED), before.0)
        };
        let (expected, ahead) = wait(&own);
        if demand.is_returning() || !demand.is_late(now + expected) {
            return (expected, ahead);
        }
        let (expected, _) = wait(&Position {
            is_late: true,
            ..own
        });
        (expected, ahead)
    }

    /// Adds a request to those that wait.
    pub(crate) fn join(&mut self, now: Duration, ticket: u64, demand: &CapacityDemand, rate: f64) {
        if self.waiting.is_empty() {
            if now > self.emptied_at + MEMORY_TIME {
                *self = Self {
                    short_at: self.short_at,
                    ..Self::new(now, rate)
                };
            }
            self.rate.resume(now);
        }
        self.shares.join(&demand.account);
        self.waiting.push(Waiting {
            ticket,
            demand: demand.clone(),
            round: self.shares.round(&demand.account),
        });
    }

    /// Removes a request that no longer waits. Returns whether it was there.
    pub(crate) fn leave(&mut self, now: Duration, ticket: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.ticket != ticket);
        self.turn = self.turn.filter(|(t, _)| *t != ticket);
        if self.waiting.is_empty() && before > 0 {
            self.emptied_at = now;
        }
        self.waiting.len() < before
    }

    /// Counts a request that was placed.
    pub(crate) fn placed(&mut self, now: Duration, ticket: Option<u64>, demand: &CapacityDemand) {
        if self.waiting.is_empty() {
            return;
        }
        self.rate
            .placed(demand.urgency, demand.is_late(now), demand.work);
        self.shares.serve(&demand.account, demand.work);
        let waiting = self.waiting.iter().map(|w| w.demand.account.as_str());
        self.shares.set_waiting(waiting);
        for w in &mut self.waiting {
            w.round = self.shares.round(&w.demand.account);
        }
        if ticket.is_some_and(|t| self.turn.is_some_and(|(turn, _)| turn == t)) {
            self.turn = None;
        }
        let Some(oldest) = self.oldest(now) else {
            return;
        };
        self.turn_credit = if demand.urgency < oldest.demand.urgency {
            let credit = self.turn_credit + demand.work * TURN_SHARE;
            credit.min(oldest.demand.work)
        } else {
            (self.turn_credit - demand.work).max(0.0)
        };
    }

    /// Returns the number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Ends a turn whose time is over, and gives the next one to the request that has used the largest
    /// share of its time, once enough work was placed.
    fn update_turn(&mut self, now: Duration) {
        if let Some((_, until)) = self.turn {
            if now < until {
                return;
            }
            self.turn = None;
            self.turn_credit /= 2.0;
        }
        let oldest = self.oldest(now);
        self.turn = oldest
            .filter(|w| w.demand.work <= self.turn_credit)
            .map(|w| (w.ticket, now + TURN_TIME));
    }

    /// Returns the request that has used the largest share of its time, if it has waited for so long that
    /// it may get a turn.
    fn oldest(&self, now: Duration) -> Option<&Waiting> {
        let aged = self
            .waiting
            .iter()
            .filter(|w| w.demand.age(now) >= TURN_AGE);
        aged.max_by(|a, b| a.demand.age(now).total_cmp(&b.demand.age(now)))
    }

    fn position(&self, now: Duration, ticket: Option<u64>, demand: &CapacityDemand) -> Position {
        let round = self.shares.round(&demand.account);
        self.position_in(now, round, ticket.unwrap_or(u64::MAX), demand)
    }

    fn position_in(
        &self,
        now: Duration,
        round: u64,
        ticket: u64,
        demand: &CapacityDemand,
    ) -> Position {
        Position {
            waits_for_turn: self.turn.is_none_or(|(turn, _)| turn != ticket),
            urgency: demand.urgency,
            round,
            is_late: demand.is_late(now),
            arrived: demand.arrived,
            ticket,
        }
    }

    /// Returns the waiting requests that go before a request. One that needs much more does not hold it
    /// back unless it is more urgent, of an account that was served less, or has its turn.
    fn before<'a>(
        &'a self,
        now: Duration,
        own: &'a Position,
        demand: &'a CapacityDemand,
    ) -> impl Iterator<Item = &'a Waiting> {
        self.waiting.iter().filter(move |w| {
            let other = self.position_in(now, w.round, w.ticket, &w.demand);
            let outranks = !other.waits_for_turn
                || (other.urgency, other.round) < (own.urgency, own.round)
                || w.demand.work <= demand.work * BLOCKING_RATIO;
            other.ticket != own.ticket && other < *own && outranks
        })
    }
}
