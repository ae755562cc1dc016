//! The leader's ledger of request limits: divides what a runner takes among the entries.
//!
//! The ledger is soft state. A new leader starts with empty buckets and takes the limits over from
//! the entries' reports; see docs/design/runner-limits.md.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::NamedLimit;
use dotterelrudder_types::TokenBucket;
use dotterelrudder_wire::cold_grant_rate;
use dotterelrudder_wire::LimitGrants;
use dotterelrudder_wire::LimitReport;
use dotterelrudder_wire::LimitUpdate;
use dotterelrudder_wire::RunnerDemand;
use dotterelrudder_wire::RunnerGrant;
use dotterelrudder_wire::MIN_LIMIT_RATE;
use dotterelrudder_wire::RESERVED_SHARE;

/// The capacity of a runner's bucket beside one request, in seconds of requests at its rate.
const BURST_SECONDS: f64 = 0.25;
/// How long the demand of a report counts; several times the interval of reports.
const DEMAND_TTL: Duration = Duration::from_millis(300);
/// How long a new leader takes over limits that entries hold; three times the interval at which
/// entries repeat their reports.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(3);
/// How long a limit stays after the last report about its runner.
const LIMIT_TTL: Duration = Duration::from_secs(30);

/// The demand of one entry for one runner, from its last report.
#[derive(Debug)]
struct EntryDemand {
    report_number: u64,
    reported_at: Duration,
    /// Requests without a permit by urgency.
    wanted: BTreeMap<u8, u32>,
    /// Permits by urgency that were granted since the last [`LimitGrants`] to this entry.
    granted: BTreeMap<u8, u32>,
    /// The requests of all entries without a permit, as this entry was last told.
    told: Option<u32>,
}

/// How long an entry's report counts that it takes a runner to be cold which the leader doesn't;
/// three times the interval at which entries repeat their reports.
const PRESUMPTION_TTL: Duration = Duration::from_secs(3);

/// The limit of one runner and the demand for it.
#[derive(Debug)]
struct LimitedRunner {
    /// The limit in the runner's answers.
    limit: NamedLimit,
    /// What the runner takes while it is cold, in requests a second.
    cold_rate: Option<f64>,
    /// The same for a runner that only entries take to be cold, and until when their reports count.
    presumed_rate: Option<(f64, Duration)>,
    bucket: TokenBucket,
    demand: BTreeMap<InstanceName, EntryDemand>,
    /// The entry that got the last permit; the next one goes to an entry behind it.
    last_granted: Option<InstanceName>,
    reported_at: Duration,
}

/// The limits of all runners that name one.
#[derive(Debug, Default)]
pub struct LimitLedger {
    runners: BTreeMap<CompactString, LimitedRunner>,
    /// Until when limits that entries hold are taken over.
    takeover_until: Duration,
    /// Changes that were not sent to the entries yet.
    updates: Vec<LimitUpdate>,
    /// What each runner of a service with a warm-up takes when it is cold.
    cold_rates: BTreeMap<CompactString, f64>,
}

impl LimitedRunner {
    fn new(now: Duration) -> Self {
        Self {
            limit: NamedLimit::default(),
            cold_rate: None,
            presumed_rate: None,
            bucket: TokenBucket::new(now, 0.0),
            demand: BTreeMap::new(),
            last_granted: None,
            reported_at: now,
        }
    }

    /// Returns what the runner takes if it is cold, in requests a second.
    fn cold_rate(&self, now: Duration) -> Option<f64> {
        let presumed = self.presumed_rate.filter(|(_, until)| now < *until);
        self.cold_rate.or(presumed.map(|(rate, _)| rate))
    }

    /// Returns the rate of permits and the capacity of their bucket; none without a limit.
    fn grant_rate(&self, now: Duration) -> Option<(f64, f64)> {
        let named = self.limit.rate();
        let named = named.map(|l| (l * (1.0 - RESERVED_SHARE)).max(MIN_LIMIT_RATE));
        match (named, self.cold_rate(now).map(cold_grant_rate)) {
            (Some(named), None) => Some((named, 1.0 + named * BURST_SECONDS)),
            // More than one permit at once would add to those of a second.
            (named, Some(cold)) => Some((named.map_or(cold, |n| n.min(cold)), 1.0)),
            (None, None) => None,
        }
    }

    /// Empties the bucket and withdraws permits that were not sent, since the runner takes less from
    /// now on.
    fn withdraw_permits(&mut self, now: Duration) {
        self.bucket = TokenBucket::new(now, 0.0);
        for demand in self.demand.values_mut() {
            demand.granted.clear();
        }
    }

    /// Grants the permits that are available: the most urgent demand first, and entries with equally
    /// urgent demand in turn.
    fn grant(&mut self, now: Duration) {
        let Some((rate, capacity)) = self.grant_rate(now) else {
            return;
        };
        self.bucket.refill(now, rate, capacity);
        self.demand
            .retain(|_, d| now < d.reported_at + DEMAND_TTL || !d.granted.is_empty());
        while self.bucket.tokens() >= 1.0 {
            let Some((name, urgency)) = self.next_in_turn() else {
                return;
            };
            let Some(demand) = self.demand.get_mut(&name) else {
                return;
            };
            if let Some(count) = demand.wanted.get_mut(&urgency) {
                *count -= 1;
            }
            demand.wanted.retain(|_, count| *count > 0);
            *demand.granted.entry(urgency).or_default() += 1;
            self.last_granted = Some(name);
            self.bucket.try_take();
        }
    }

    /// Returns the entry that gets the next permit, and the urgency of its request.
    fn next_in_turn(&self) -> Option<(InstanceName, u8)> {
        let most_urgent = |d: &EntryDemand| d.wanted.keys().next().copied();
        let urgency = self.demand.values().filter_map(most_urgent).min()?;
        let after = match &self.last_granted {
            Some(name) => Bound::Excluded(name.clone()),
            None => Bound::Unbounded,
        };
        let behind = self.demand.range((after, Bound::Unbounded));
        let mut in_turn = behind.chain(self.demand.iter());
        let (name, _) = in_turn.find(|(_, d)| most_urgent(d) == Some(urgency))?;
        Some((name.clone(), urgency))
    }

    /// Returns the requests of all entries that have no permit, by urgency.
    fn wanted(&self) -> Vec<(u8, u32)> {
        let mut sums: BTreeMap<u8, u32> = BTreeMap::new();
        for (urgency, count) in self.demand.values().flat_map(|d| &d.wanted) {
            *sums.entry(*urgency).or_default() += count;
        }
        sums.into_iter().collect()
    }
}

impl LimitLedger {
    /// Begins a leadership: limits that entries hold are taken over for a while.
    pub fn begin_leadership(&mut self, now: Duration) {
        *self = Self {
            takeover_until: now + TAKEOVER_PERIOD,
            ..Self::default()
        };
    }

    /// Applies an entry's report. Returns the grants for this entry, also without permits, and the
    /// limits that the entry holds and that have ended.
    pub fn on_report(
        &mut self,
        from: &InstanceName,
        report: LimitReport,
        now: Duration,
    ) -> (LimitGrants, Vec<LimitUpdate>) {
        let mut ended = Vec::new();
        let mut grants = Vec::new();
        for row in report.runners {
            let identity = row.runner.clone();
            self.apply_answers(&row, now);
            // A row without a finite limit is about a runner that the entry takes to be cold.
            let holds_named = row.held.is_finite();
            let runner = self.runners.get_mut(&identity);
            let names_none = runner.as_ref().is_none_or(|r| r.limit.rate().is_none());
            if holds_named && names_none {
                ended.push(LimitUpdate {
                    runner: identity.clone(),
                    rate: None,
                });
            }
            let Some(runner) = runner else {
                continue;
            };
            runner.reported_at = now;
            let previous = runner.demand.remove(from);
            let told = previous.as_ref().and_then(|d| d.told);
            let demand = EntryDemand {
                report_number: report.number,
                reported_at: now,
                wanted: row.wanted.into_iter().filter(|(_, n)| *n > 0).collect(),
                granted: previous.map_or_else(BTreeMap::new, |d| d.granted),
                told,
            };
            // Only entries with demand are kept: each grant passes through all of them.
            if !(demand.wanted.is_empty() && demand.granted.is_empty()) {
                runner.demand.insert(from.clone(), demand);
                runner.grant(now);
            }
            let wanted = runner.wanted();
            let waiting = wanted.iter().map(|(_, n)| n).sum();
            let is_cold = runner.grant_rate(now).is_some() && runner.limit.rate().is_none();
            let granted = runner.demand.get_mut(from);
            let permits = granted.map_or_else(BTreeMap::new, |d| {
                d.told = Some(waiting);
                std::mem::take(&mut d.granted)
            });
            // Many runners may be cold at once, and each entry reports often.
            if is_cold && permits.is_empty() && told.is_some_and(|told| is_near(told, waiting)) {
                if let Some(demand) = runner.demand.get_mut(from) {
                    demand.told = told;
                }
                continue;
            }
            grants.push(RunnerGrant {
                runner: identity,
                permits: permits.into_iter().collect(),
                wanted,
            });
        }
        let number = report.number;
        (LimitGrants { number, grants }, ended)
    }

    /// Applies what the answers to an entry stated about a runner's limit, and that the entry takes the
    /// runner to be cold.
    fn apply_answers(&mut self, row: &RunnerDemand, now: Duration) {
        let holds_named = row.held.is_finite();
        let taken_over = (now < self.takeover_until && holds_named).then_some(row.held);
        let presumed_rate = self.cold_rates.get(&row.runner);
        let presumed_rate = presumed_rate.filter(|_| !holds_named).copied();
        let known = self.runners.get(&row.runner);
        if known.is_none_or(|r| r.limit.rate().is_none()) {
            if let Some(rate) = row.named.or(taken_over) {
                let runners = self.runners.entry(row.runner.clone());
                let runner = runners.or_insert_with(|| LimitedRunner::new(now));
                runner.limit.on_named(now, rate);
                self.updates.push(LimitUpdate {
                    runner: row.runner.clone(),
                    rate: Some(rate),
                });
                return;
            }
        }
        if let Some(rate) = presumed_rate {
            let runners = self.runners.entry(row.runner.clone());
            let runner = runners.or_insert_with(|| LimitedRunner::new(now));
            runner.presumed_rate = Some((rate, now + PRESUMPTION_TTL));
        }
        let Some(runner) = self.runners.get_mut(&row.runner) else {
            return;
        };
        let before = runner.limit.rate();
        match row.named {
            Some(rate) => runner.limit.on_named(now, rate),
            None if row.answers_without > 0 => {
                runner.limit.on_answers_without(now, row.answers_without);
            }
            None => {}
        }
        let rate = runner.limit.rate();
        if rate != before {
            self.updates.push(LimitUpdate {
                runner: row.runner.clone(),
                rate,
            });
        }
        if runner.grant_rate(now).is_none() {
            self.runners.remove(&row.runner);
        }
    }

    /// Sets what the runners of services with a warm-up take when they are cold, and which are: rows of
    /// identity, requests a second and whether the runner is cold. Other runners are not cold.
    pub fn set_cold<'a, R>(&mut self, now: Duration, rows: R)
    where
        R: Iterator<Item = (&'a CompactString, f64, bool)>,
    {
        self.cold_rates.clear();
        let mut cold: BTreeMap<&CompactString, f64> = BTreeMap::new();
        for (identity, rate, is_cold) in rows {
            self.cold_rates.insert(identity.clone(), rate);
            if is_cold {
                cold.insert(identity, rate);
            }
        }
        for (identity, runner) in &mut self.runners {
            let rate = cold.remove(identity);
            if rate.is_some() && runner.cold_rate.is_none() {
                runner.withdraw_permits(now);
            }
            runner.cold_rate = rate;
        }
        for (identity, rate) in cold {
            let mut runner = LimitedRunner::new(now);
            runner.cold_rate = Some(rate);
            self.runners.insert(identity.clone(), runner);
        }
        self.runners.retain(|_, r| r.grant_rate(now).is_some());
    }

    /// Grants the permits that became available, and removes limits without reports. Returns the
    /// grants by entry.
    pub fn tick(&mut self, now: Duration) -> BTreeMap<InstanceName, LimitGrants> {
        let mut by_entry: BTreeMap<InstanceName, LimitGrants> = BTreeMap::new();
        let updates = &mut self.updates;
        self.runners.retain(|identity, runner| {
            let expired = now >= runner.reported_at + LIMIT_TTL;
            if expired && runner.limit.rate().is_some() {
                runner.limit = NamedLimit::default();
                updates.push(LimitUpdate {
                    runner: identity.clone(),
                    rate: None,
                });
            }
            runner.grant_rate(now).is_some()
        });
        for (identity, runner) in &mut self.runners {
            runner.grant(now);
            let wanted = runner.wanted();
            for (name, demand) in &mut runner.demand {
                if demand.granted.is_empty() {
                    continue;
                }
                let number = demand.report_number;
                demand.told = Some(wanted.iter().map(|(_, n)| n).sum());
                let permits = std::mem::take(&mut demand.granted);
                let grants = by_entry.entry(name.clone()).or_insert(LimitGrants {
                    number,
                    grants: Vec::new(),
                });
                // A permit is valid from the report that asked for it, and rows may answer
                // different ones; the oldest counts for all of them.
                grants.number = grants.number.min(number);
                grants.grants.push(RunnerGrant {
                    runner: identity.clone(),
                    permits: permits.into_iter().collect(),
                    wanted: wanted.clone(),
                });
            }
        }
        by_entry
    }

    /// Removes the demand of an entry whose connection closed.
    pub fn remove_entry(&mut self, entry: &InstanceName) {
        for runner in self.runners.values_mut() {
            runner.demand.remove(entry);
        }
    }

    /// Returns the changes since the last call, and clears them.
    pub fn take_updates(&mut self) -> Vec<LimitUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Returns the limits that runners name.
    pub fn limits(&self) -> Vec<LimitUpdate> {
        let runners = self.runners.iter();
        let runners = runners.filter(|(_, runner)| runner.limit.rate().is_some());
        let limits = runners.map(|(identity, runner)| LimitUpdate {
            runner: identity.clone(),
            rate: runner.limit.rate(),
        });
        limits.collect()
    }
}

/// Returns whether a number of waiting requests differs from another one by no more than a quarter.
fn is_near(told: u32, waiting: u32) -> bool {
    told.abs_diff(waiting) * 4 <= told
}
