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
use dotterelrudder_wire::RunnerDemand;
use dotterelrudder_wire::RunnerGrant;
use dotterelrudder_wire::PERMIT_VALIDITY;

use crate::AnswerLimit;
use crate::LimitReserve;

/// How long demand counts after its request was last placed elsewhere or queued. Longer than the
/// interval of reports, so that each report includes recent demand.
const DEMAND_TTL: Duration = Duration::from_millis(300);
/// How long the limit in this entry's answers outlasts the leader's word that it has ended; the
/// leader does not know of the newest answers yet.
const OWN_ANSWERS_HOLD: Duration = Duration::from_secs(2);

/// The right to send one request.
#[derive(Debug, Clone, Copy)]
struct Permit {
    /// The urgency of the request that it was granted for.
    urgency: u8,
    expires: Duration,
}

impl Permit {
    /// Returns whether a request may use the permit: one as urgent as that which it was granted for,
    /// and any request when the permit is about to expire.
    fn serves(&self, now: Duration, urgency: u8) -> bool {
        now < self.expires
            && (urgency <= self.urgency || self.expires.saturating_sub(now) < PERMIT_VALIDITY / 2)
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
        match (self.own.rate(), self.announced) {
            (Some(own), Some(announced)) => Some(own.min(announced)),
            (own, announced) => own.or(announced),
        }
    }

    /// Applies what an answer states about the limit.
    pub fn on_answer(&mut self, now: Duration, limit: AnswerLimit) {
        match limit {
            AnswerLimit::Named(rate) => {
                self.own.on_named(now, rate);
                let lowest = self.named_since_report.unwrap_or(rate);
                self.named_since_report = Some(lowest.min(rate));
            }
            AnswerLimit::Absent if self.rate().is_some() => {
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
            *self = Self::default();
        }
    }

    /// Adds permits that the leader granted, in answer to a report that was sent at `reported_at`.
    pub fn on_grant(&mut self, grant: &RunnerGrant, reported_at: Duration) {
        let expires = reported_at + PERMIT_VALIDITY;
        for (urgency, count) in &grant.permits {
            let permit = Permit {
                urgency: *urgency,
                expires,
            };
            self.permits
                .extend(std::iter::repeat_n(permit, *count as usize));
        }
        self.wanted_by_all.clone_from(&grant.wanted);
    }

    /// Removes expired permits and demand, and refills the reserve, which is divided among `entries`
    /// entries.
    pub fn advance(&mut self, now: Duration, entries: u32, is_cut_off: bool) {
        self.permits.retain(|p| now < p.expires);
        self.demand.retain(|_, d| now < d.at + DEMAND_TTL);
        if let Some(rate) = self.rate() {
            self.reserve.refill(now, rate, entries, is_cut_off);
        }
    }

    /// Returns whether a request may be sent now.
    pub fn allows(&self, now: Duration, urgency: u8) -> bool {
        self.rate().is_none()
            || self.reserve.is_available()
            || self.permits.iter().any(|p| p.serves(now, urgency))
    }

    /// Returns whether the runner has a limit and a request may be sent now.
    pub fn has_permit(&self, now: Duration, urgency: u8) -> bool {
        self.rate().is_some() && self.allows(now, urgency)
    }

    /// Takes what a request needs to be sent now: the permit that expires first, or one request from
    /// the reserve.
    pub fn take(&mut self, now: Duration, urgency: u8) {
        if self.rate().is_none() {
            return;
        }
        let usable = self.permits.iter().enumerate();
        let usable = usable.filter(|(_, p)| p.serves(now, urgency));
        match usable.min_by_key(|(_, p)| p.expires).map(|(n, _)| n) {
            Some(n) => {
                self.permits.swap_remove(n);
            }
            None => {
                self.reserve.try_take();
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
        let held = self.rate()?;
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

/// Returns the number of requests that are as urgent as `urgency` or more.
fn sum_up_to(counts: &[(u8, u32)], urgency: u8) -> u32 {
    let counts = counts.iter().filter(|(u, _)| *u <= urgency);
    counts.map(|(_, n)| n).sum()
}
