//! Request limit of one runner: the limit in force, and this entry's permits and demand.
//!
//! Load pattern: a runner in need takes a few requests a second from all entries together. An entry
//! that knows the limit sends it a request only with a permit of the leading control instance, for
//! which it reports its demand; see docs/design/runner-limits.md.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::NamedLimit;
use dotterelrudder_wire::cold_grant_rate;
use dotterelrudder_wire::RunnerDemand;
use dotterelrudder_wire::RunnerGrant;
use dotterelrudder_wire::COLD_PERMIT_VALIDITY;
use dotterelrudder_wire::MIN_LIMIT_RATE;
use dotterelrudder_wire::PERMIT_VALIDITY;
use dotterelrudder_wire::RESERVED_SHARE;

use crate::AnswerLimit;
use crate::ColdReserve;
use crate::LimitReserve;
use crate::WarmUpLimit;

/// How long demand counts after its request was last placed elsewhere or queued. Longer than the
/// interval of reports, so that each report includes recent demand.
const DEMAND_TTL: Duration = Duration::from_millis(300);
/// How long the limit in this entry's answers outlasts the leader's word that it has ended; the
/// leader does not know of the newest answers yet.
const OWN_ANSWERS_HOLD: Duration = Duration::from_secs(2);

/// The least time that a permit for a cold runner has left when it is used: enough to open a connection
/// before it expires.
const MIN_COLD_PERMIT_LEFT: Duration = Duration::from_millis(30);

/// The right to send one request.
#[derive(Debug, Clone, Copy)]
struct Permit {
    /// The urgency of the request that it was granted for.
    urgency: u8,
    expires: Duration,
    /// For how long it was valid from the report that asked for it.
    validity: Duration,
    /// The least time that it must have left to be used.
    min_left: Duration,
}

impl Permit {
    /// Returns whether a request may use the permit: one as urgent as that which it was granted for,
    /// and any request when the permit is about to expire.
    fn serves(&self, now: Duration, urgency: u8) -> bool {
        now + self.min_left < self.expires
            && (urgency <= self.urgency || self.expires.saturating_sub(now) < self.validity / 2)
    }
}

/// A request that would have been sent to the runner.
#[derive(Debug, Clone, Copy)]
struct Demand {
    urgency: u8,
    /// When the request first found no permit.
    since: Duration,
    /// When it last did.
    at: Duration,
}

/// The request limit of one runner as one entry knows it.
#[derive(Debug, Default)]
pub struct RunnerLimit {
    /// The limit in the runner's answers to this entry.
    own: NamedLimit,
    /// The limit that the leader announced.
    announced: Option<f64>,
    /// What the runner takes while it is cold.
    warm_up: WarmUpLimit,
    cold_reserve: ColdReserve,
    permits: Vec<Permit>,
    /// The requests without a permit by their numbers.
    demand: HashMap<u64, Demand>,
    /// The requests of all entries without a permit by urgency, as last reported by the leader.
    wanted_by_all: Vec<(u8, u32)>,
    reserve: LimitReserve,
    /// The requests of this entry without a permit by urgency, as last reported to the leader.
    reported: Vec<(u8, u32)>,
    /// The lowest limit in answers since the last report.
    named_since_report: Option<f64>,
    /// Answers without a limit since the last report.
    answers_without_since_report: u32,
}

impl RunnerLimit {
    /// Returns the limit in force, in requests per second.
    pub fn rate(&self) -> Option<f64> {
        lower(self.named_rate(), self.cold_rate())
    }

    /// Returns the limit that the runner names, in requests per second.
    fn named_rate(&self) -> Option<f64> {
        lower(self.own.rate(), self.announced)
    }

    /// Returns what the runner takes in requests per second if it is cold, or may be.
    pub fn cold_rate(&self) -> Option<f64> {
        self.warm_up.rate()
    }

    /// Returns whether this entry takes the runner to be cold without the leader's word.
    fn is_presumed_cold(&self) -> bool {
        self.warm_up.is_presumed()
    }

    /// Returns when the runner is warm, if that is known.
    pub fn cold_until(&self) -> Option<Duration> {
        self.warm_up.ends_at()
    }

    /// Returns the rate at which the leader grants permits; of the reserve while this entry, one of
    /// `entries`, is cut off.
    pub fn permit_rate(&self, entries: u32, is_cut_off: bool) -> f64 {
        if is_cut_off {
            let rate = self.rate().unwrap_or(0.0) * RESERVED_SHARE / f64::from(entries.max(1));
            return rate.max(MIN_LIMIT_RATE);
        }
        let named = self.named_rate();
        let named = named.map(|rate| (rate * (1.0 - RESERVED_SHARE)).max(MIN_LIMIT_RATE));
        lower(named, self.cold_rate().map(cold_grant_rate)).unwrap_or(MIN_LIMIT_RATE)
    }

    /// Changes what is known of the runner's warm-up. Permits from before the runner was cold are
    /// dropped. Returns whether it became cold, or may have.
    fn update_warm_up<F>(&mut self, change: F) -> bool
    where
        F: FnOnce(&mut WarmUpLimit),
    {
        let was_cold = self.cold_rate().is_some();
        change(&mut self.warm_up);
        let became_cold = !was_cold && self.cold_rate().is_some();
        if became_cold {
            self.permits.clear();
        }
        became_cold
    }

    /// Applies the leader's announcement that the runner is cold until a time, or warm.
    pub fn announce_cold(&mut self, rate: Option<f64>, until: Duration) {
        self.update_warm_up(|w| w.announce(rate, until));
    }

    /// Records a connection that the runner refused or closed; it may have started again, and takes
    /// `rate` requests a second then. Returns whether the runner counts as cold from now on.
    pub fn on_connection_lost(&mut self, now: Duration, rate: f64) -> bool {
        self.update_warm_up(|w| w.on_lost(now, rate))
    }

    /// Records that this entry stood still, and may not know that the runner is cold.
    pub fn on_pause(&mut self, now: Duration, rate: f64) {
        self.update_warm_up(|w| w.on_pause(now, rate));
    }

    /// Records a load report that shows the same start of the runner.
    pub fn on_load_report(&mut self, now: Duration) {
        self.warm_up.on_load_report(now);
    }

    /// Records that the leader answered a query of `queried_at`.
    pub fn on_confirmed(&mut self, queried_at: Duration) {
        self.warm_up.on_confirmed(queried_at);
    }

    /// Ends the warm-up: the service declares none any more.
    pub fn end_warm_up(&mut self) {
        self.warm_up = WarmUpLimit::default();
    }

    /// Applies what an answer states about the limit.
    pub fn on_answer(&mut self, now: Duration, limit: AnswerLimit) {
        match limit {
            AnswerLimit::Named(rate) => {
                self.own.on_named(now, rate);
                let lowest = self.named_since_report.unwrap_or(rate);
                self.named_since_report = Some(lowest.min(rate));
            }
            AnswerLimit::Absent if self.named_rate().is_some() => {
                self.own.on_answers_without(now, 1);
                self.answers_without_since_report += 1;
            }
            AnswerLimit::Absent | AnswerLimit::Malformed => {}
        }
    }

    /// Applies the leader's announcement of the limit, or of its end.
    pub fn on_update(&mut self, now: Duration, rate: Option<f64>) {
        self.announced = rate;
        if rate.is_none() && now >= self.own.named_at() + OWN_ANSWERS_HOLD {
            *self = Self {
                warm_up: std::mem::take(&mut self.warm_up),
                cold_reserve: self.cold_reserve,
                permits: match self.cold_rate() {
                    Some(_) => std::mem::take(&mut self.permits),
                    None => Vec::new(),
                },
                ..Self::default()
            };
        }
    }

    /// Adds permits that the leader granted, in answer to a report that was sent at `reported_at`.
    pub fn on_grant(&mut self, grant: &RunnerGrant, reported_at: Duration) {
        let (validity, min_left) = match self.cold_rate() {
            Some(_) => (COLD_PERMIT_VALIDITY, MIN_COLD_PERMIT_LEFT),
            None => (PERMIT_VALIDITY, Duration::ZERO),
        };
        let expires = reported_at + validity;
        for (urgency, count) in &grant.permits {
            let permit = Permit {
                urgency: *urgency,
                expires,
                validity,
                min_left,
            };
            self.permits
                .extend(std::iter::repeat_n(permit, *count as usize));
        }
        self.wanted_by_all.clone_from(&grant.wanted);
    }

    /// Removes expired permits and demand, and refills the reserve, which is divided among `entries`
    /// entries. `phase`, from 0 to 1, differs between entries. `confirmed_at` is when the last query was
    /// sent that the leader answered.
    pub fn advance(
        &mut self,
        now: Duration,
        entries: u32,
        is_cut_off: bool,
        phase: f64,
        confirmed_at: Duration,
    ) {
        self.warm_up.advance(now, confirmed_at);
        self.permits.retain(|p| now + p.min_left < p.expires);
        self.demand.retain(|_, d| now < d.at + DEMAND_TTL);
        let cold = self.cold_rate().is_some();
        if let Some(rate) = self.rate() {
            self.reserve.refill(now, rate, entries, is_cut_off && !cold);
            self.cold_reserve
                .refill(now, rate, entries, is_cut_off && cold, phase);
        }
    }

    /// Returns whether a request may be sent now.
    pub fn allows(&self, now: Duration, urgency: u8) -> bool {
        self.rate().is_none()
            || self.reserve.is_available()
            || self.cold_reserve.is_available()
            || self.permits.iter().any(|p| p.serves(now, urgency))
    }

    /// Returns whether the runner has a limit and a request may be sent now.
    pub fn has_permit(&self, now: Duration, urgency: u8) -> bool {
        self.rate().is_some() && self.allows(now, urgency)
    }

    /// Takes what a request needs to be sent now: the permit that expires first, or one request from
    /// the reserve. Returns by when it has to be sent, if the runner is cold.
    pub fn take(&mut self, now: Duration, urgency: u8) -> Option<Duration> {
        self.rate()?;
        let cold = self.cold_rate().is_some();
        let usable = self.permits.iter().enumerate();
        let usable = usable.filter(|(_, p)| p.serves(now, urgency));
        match usable.min_by_key(|(_, p)| p.expires).map(|(n, _)| n) {
            Some(n) => {
                let permit = self.permits.swap_remove(n);
                cold.then_some(permit.expires)
            }
            None if cold => {
                self.cold_reserve.take();
                Some(now + COLD_PERMIT_VALIDITY)
            }
            None => {
                self.reserve.try_take();
                None
            }
        }
    }

    /// Records that a request would have been sent if there had been a permit.
    pub fn want(&mut self, now: Duration, urgency: u8, request: u64) {
        let demand = Demand {
            urgency,
            since: now,
            at: now,
        };
        self.demand.entry(request).or_insert(demand).at = now;
    }

    /// Removes the demand of a request.
    pub fn forget(&mut self, request: u64) {
        self.demand.remove(&request);
    }

    /// Returns since when a request has waited for a permit.
    pub fn wanted_since(&self, request: u64) -> Option<Duration> {
        self.demand.get(&request).map(|d| d.since)
    }

    /// Returns the number of other requests without a permit, at all entries, that are as urgent as a
    /// request or more: those of this entry, and those of other entries by the last report.
    pub fn waiting_before(&self, urgency: u8, request: u64) -> u32 {
        let own = self.demand.iter();
        let own = own.filter(|(number, d)| **number != request && d.urgency <= urgency);
        let others = sum_up_to(&self.wanted_by_all, urgency);
        let others = others.saturating_sub(sum_up_to(&self.reported, urgency));
        own.count() as u32 + others
    }

    /// Returns the number of unused permits.
    pub fn permits(&self) -> usize {
        self.permits.len()
    }

    /// Returns whether the leader should hear of the limit or of demand at once.
    pub fn is_report_due(&self) -> bool {
        let demand_without_permit = self.demand.len() > self.permits.len();
        // Demand that has gone must not get permits that others wait for.
        let has_gone = !self.reported.is_empty() && self.demand.is_empty();
        self.rate().is_some()
            && (demand_without_permit || has_gone || self.named_since_report.is_some())
    }

    /// Returns the row of the next report, and clears what is reported only once; none without a
    /// limit.
    pub fn take_demand(&mut self, runner: &CompactString) -> Option<RunnerDemand> {
        self.rate()?;
        // No finite limit tells the leader that the runner is taken to be cold.
        let named = self.named_rate().filter(|_| !self.is_presumed_cold());
        let held = named.unwrap_or(f64::INFINITY);
        let mut wanted: BTreeMap<u8, u32> = BTreeMap::new();
        for demand in self.demand.values() {
            *wanted.entry(demand.urgency).or_default() += 1;
        }
        // Each permit in hand serves a request of its urgency or a more urgent one.
        for permit in &self.permits {
            let served = wanted.range_mut(..=permit.urgency).find(|(_, n)| **n > 0);
            if let Some((_, count)) = served {
                *count -= 1;
            }
        }
        let wanted: Vec<(u8, u32)> = wanted.into_iter().filter(|(_, n)| *n > 0).collect();
        self.reported.clone_from(&wanted);
        Some(RunnerDemand {
            runner: runner.clone(),
            held,
            named: self.named_since_report.take(),
            answers_without: std::mem::take(&mut self.answers_without_since_report),
            wanted,
        })
    }
}

/// Returns the lower one of two limits.
fn lower(a: Option<f64>, b: Option<f64>) -> Option<f64> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Returns the number of requests that are as urgent as `urgency` or more.
fn sum_up_to(counts: &[(u8, u32)], urgency: u8) -> u32 {
    let counts = counts.iter().filter(|(u, _)| *u <= urgency);
    counts.map(|(_, n)| n).sum()
}
