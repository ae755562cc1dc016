//! Which runners are cold, and what they take until they are warm.
//!
//! Load pattern: many runners of a service crash at once, come back empty, and get more requests than a
//! cold runner bears, so that they crash again; see docs/design/cold-runners.md.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_config::deployment::WarmUp;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::RunnerWarmUps;
use dotterelrudder_wire::WarmUpUpdate;

use super::RecentStarts;

/// How long after a runner became cold a list must be read to show that it is warm: longer than lists
/// lag behind the runners.
const LIST_LAG: Duration = Duration::from_secs(1);
/// How long a runner is remembered that is no longer listed, so that a list that lacks it once does not
/// make it a new one.
const UNLISTED_TTL: Duration = Duration::from_secs(60);
/// The smallest extension of a cold time that is announced; each list states the time anew.
const MIN_EXTENSION: Duration = Duration::from_millis(100);

/// What shows that a runner is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The list states how long it stays cold.
    Listed,
    /// It started.
    Started,
    /// Nothing is known of it, and it may be cold.
    Presumed,
}

/// The rest of a runner's cold time.
#[derive(Debug, Clone, Copy)]
struct ColdTime {
    until: Duration,
    /// The time from which a list that shows the runner as warm ends the cold time; `None` if only
    /// `until` does.
    list_ends_from: Option<Duration>,
    /// The end that was last announced to entries.
    announced_until: Duration,
}

/// A runner of a service that declares a warm-up.
#[derive(Debug)]
struct ListedRunner {
    service: ServiceName,
    address: SocketAddr,
    data_centre: DataCentre,
    /// The start time; 0 when unknown.
    born_ms: u64,
    /// The start time before; lists and reports that lag still show it.
    previous_born_ms: u64,
    last_listed: Duration,
    /// What the runner takes while it is cold, in requests a second.
    rate: f64,
    cold: Option<ColdTime>,
}

/// The cold runners of all services that declare a warm-up.
#[derive(Debug, Default)]
pub struct ColdRunners {
    warm_ups: BTreeMap<ServiceName, WarmUp>,
    /// Whether entries were told of services that warm up.
    is_announced: bool,
    /// Whether the services changed since the last announcement.
    services_changed: bool,
    /// The time from which the lists that this leader read tell new runners from known ones.
    first_list_at: Option<Duration>,
    runners: BTreeMap<CompactString, ListedRunner>,
    starts: BTreeMap<SocketAddr, RecentStarts>,
    /// Runners that became cold or warm since the last announcement.
    changed: Vec<CompactString>,
}

impl ListedRunner {
    /// Returns whether a start time that differs from the known one is that of a new start.
    fn is_new_start(&self, born_ms: u64) -> bool {
        born_ms != 0
            && self.born_ms != 0
            && born_ms != self.born_ms
            && born_ms != self.previous_born_ms
    }

    /// Sets the start time to one that was not known.
    fn started(&mut self, born_ms: u64) {
        self.previous_born_ms = self.born_ms;
        self.born_ms = born_ms;
    }

    fn update(&self, identity: &CompactString, now: Duration) -> WarmUpUpdate {
        let left = self
            .cold
            .map_or(Duration::ZERO, |c| c.until - now.min(c.until));
        WarmUpUpdate {
            runner: identity.clone(),
            rate: self.cold.map(|_| self.rate),
            left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl ColdRunners {
    /// Applies the warm-ups that the configuration in force declares. Returns whether they changed.
    pub fn configure(&mut self, configuration: &DeploymentConfiguration) -> bool {
        let services = configuration.services.iter();
        let declared = services.filter_map(|s| Some((s.name.clone(), s.warm_up?)));
        let declared: BTreeMap<ServiceName, WarmUp> = declared.collect();
        if declared == self.warm_ups {
            return false;
        }
        self.warm_ups = declared;
        self.services_changed = true;
        self.runners.clear();
        self.first_list_at = None;
        true
    }

    /// Applies the platform's list. `wall_clock_ms` is the time since the epoch, by which the first list
    /// of a leader shows how old each start is.
    pub fn on_list(&mut self, records: &[RunnerRecord], wall_clock_ms: u64, now: Duration) {
        if self.warm_ups.is_empty() {
            return;
        }
        let is_first = self.first_list_at.is_none();
        self.first_list_at.get_or_insert(now);
        for record in records {
            if let Some(warm_up) = self.warm_ups.get(&record.service).copied() {
                self.apply_record(record, warm_up, is_first.then_some(wall_clock_ms), now);
            }
        }
        let runners = &mut self.runners;
        runners.retain(|_, r| now < r.last_listed + UNLISTED_TTL);
        self.starts.retain(|_, starts| !starts.is_over(now));
    }

    fn apply_record(
        &mut self,
        record: &RunnerRecord,
        warm_up: WarmUp,
        first_list_clock_ms: Option<u64>,
        now: Duration,
    ) {
        let known = self.runners.get_mut(&record.identity);
        let started = match known {
            Some(runner) => {
                runner.last_listed = now;
                runner.address = record.address;
                if runner.born_ms == 0 {
                    runner.born_ms = record.born_ms;
                }
                let started = runner.is_new_start(record.born_ms);
                if started {
                    runner.started(record.born_ms);
                }
                started.then_some(warm_up.time)
            }
            None => {
                let runner = ListedRunner {
                    service: record.service.clone(),
                    address: record.address,
                    data_centre: record.data_centre.clone(),
                    born_ms: record.born_ms,
                    previous_born_ms: 0,
                    last_listed: now,
                    rate: warm_up.requests_per_s,
                    cold: None,
                };
                self.runners.insert(record.identity.clone(), runner);
                match first_list_clock_ms {
                    // A new leader knows nothing of the time before, and must not take all runners
                    // for new ones.
                    Some(clock) => time_left_since(record.born_ms, clock, warm_up.time),
                    None => Some(warm_up.time),
                }
            }
        };
        if started.is_some() {
            self.count_start(&record.identity, warm_up, now);
        }
        let starts = self.starts.get(&record.address);
        let seen_at = starts.and_then(|s| s.seen_at(record.born_ms));
        // A report shows a start before the list does.
        let warm_at = seen_at.map(|at| at + warm_up.time);
        let until_listed = record.cold_left.map(|left| now + left);
        match (until_listed, warm_at) {
            // What the list states is older than the report, and about the same start.
            (Some(until), Some(warm_at)) if now < until && until < warm_at + LIST_LAG => {
                self.begin(&record.identity, until.min(warm_at), Evidence::Listed, now);
            }
            (Some(until), _) if now < until => {
                self.begin(&record.identity, until, Evidence::Listed, now);
            }
            (Some(_), _) if started.is_none() => self.end_if_warm(&record.identity, now),
            _ => {
                if let Some(time) = started {
                    let until = warm_at.map_or(now + time, |at| at.min(now + time));
                    self.begin(&record.identity, until, Evidence::Started, now);
                }
            }
        }
    }

    /// Applies the start time in a side's report about the runner at an address.
    pub fn on_report(&mut self, address: SocketAddr, born_ms: u64, now: Duration) {
        let runners = self.runners.iter_mut();
        let at_address = runners.filter(|(_, r)| r.address == address);
        let Some((identity, runner)) = at_address.max_by_key(|(_, r)| r.last_listed) else {
            return;
        };
        let Some(warm_up) = self.warm_ups.get(&runner.service).copied() else {
            return;
        };
        if runner.is_new_start(born_ms) {
            runner.started(born_ms);
            let identity = identity.clone();
            self.count_start(&identity, warm_up, now);
            self.begin(&identity, now + warm_up.time, Evidence::Started, now);
        }
    }

    /// Presumes that all runners of a data centre are cold, until their time is over or a later list
    /// shows that they are warm.
    pub fn presume_cold(&mut self, data_centre: &DataCentre, now: Duration) {
        let there = self.runners.iter();
        let there = there.filter(|(_, r)| r.data_centre == *data_centre);
        let there: Vec<_> = there
            .filter_map(|(id, r)| Some((id.clone(), self.warm_ups.get(&r.service)?.time)))
            .collect();
        for (identity, time) in there {
            self.begin(&identity, now + time, Evidence::Presumed, now);
        }
    }

    /// Sets the rate of a runner that started, by how often servers at its address started recently.
    fn count_start(&mut self, identity: &CompactString, warm_up: WarmUp, now: Duration) {
        if let Some(runner) = self.runners.get_mut(identity) {
            let starts = self.starts.entry(runner.address).or_default();
            starts.add(runner.born_ms, now);
            runner.rate = warm_up.requests_per_s * starts.share();
        }
    }

    /// Begins, extends or shortens a runner's cold time.
    fn begin(
        &mut self,
        identity: &CompactString,
        until: Duration,
        evidence: Evidence,
        now: Duration,
    ) {
        let Some(runner) = self.runners.get_mut(identity) else {
            return;
        };
        let list_ends_from = (evidence != Evidence::Started).then_some(now + LIST_LAG);
        let Some(cold) = &mut runner.cold else {
            if until > now {
                runner.cold = Some(ColdTime {
                    until,
                    list_ends_from,
                    announced_until: Duration::ZERO,
                });
                self.changed.push(identity.clone());
            }
            return;
        };
        // Only a list that can't be older than what began the cold time may shorten it.
        let is_newer = cold.list_ends_from.is_some_and(|from| now >= from);
        cold.until = match evidence {
            Evidence::Listed if is_newer => until,
            _ => cold.until.max(until),
        };
        match evidence {
            Evidence::Listed => {}
            Evidence::Started => cold.list_ends_from = None,
            Evidence::Presumed => {
                cold.list_ends_from = cold.list_ends_from.and(list_ends_from);
            }
        }
        if cold.until > cold.announced_until + MIN_EXTENSION {
            self.changed.push(identity.clone());
        }
    }

    /// Ends a cold time that a list which shows the runner as warm ends.
    fn end_if_warm(&mut self, identity: &CompactString, now: Duration) {
        let Some(runner) = self.runners.get_mut(identity) else {
            return;
        };
        let ends_from = runner.cold.and_then(|c| c.list_ends_from);
        if ends_from.is_some_and(|from| now >= from) {
            runner.cold = None;
            self.changed.push(identity.clone());
        }
    }

    /// Ends the cold times that are over.
    pub fn tick(&mut self, now: Duration) {
        for (identity, runner) in &mut self.runners {
            if runner.cold.is_some_and(|c| now >= c.until) {
                runner.cold = None;
                self.changed.push(identity.clone());
            }
        }
    }

    /// Returns the announcement of what changed since the last call; none without a change.
    pub fn take_announcement(&mut self, now: Duration) -> Option<RunnerWarmUps> {
        let changed = std::mem::take(&mut self.changed);
        if changed.is_empty() && !self.services_changed {
            return None;
        }
        self.services_changed = false;
        self.is_announced = true;
        let runners = changed.iter().filter_map(|identity| {
            let runner = self.runners.get_mut(identity)?;
            if let Some(cold) = &mut runner.cold {
                cold.announced_until = cold.until;
            }
            Some(runner.update(identity, now))
        });
        let runners = runners.collect();
        let services = self.services();
        Some(RunnerWarmUps { services, runners })
    }

    /// Returns the announcement of all runners; none if no service ever declared a warm-up.
    pub fn announcement(&self, now: Duration) -> Option<RunnerWarmUps> {
        if self.warm_ups.is_empty() && !self.is_announced {
            return None;
        }
        let runners = self.runners.iter();
        // What a leader doesn't know yet must not end what entries know from the one before.
        let runners = runners.filter(|(_, r)| r.cold.is_some() || self.knows_warm(now));
        Some(RunnerWarmUps {
            services: self.services(),
            runners: runners.map(|(id, r)| r.update(id, now)).collect(),
        })
    }

    /// Returns whether the first list that this leader read can't be older than the last one of the
    /// leader before.
    fn knows_warm(&self, now: Duration) -> bool {
        self.first_list_at.is_some_and(|at| now >= at + LIST_LAG)
    }

    fn services(&self) -> Vec<(ServiceName, f64)> {
        let warm_ups = self.warm_ups.iter();
        let services = warm_ups.map(|(name, w)| (name.clone(), w.requests_per_s));
        services.collect()
    }

    /// Returns what each runner of a service with a warm-up takes when it is cold, and whether it is.
    pub fn rates(&self) -> impl Iterator<Item = (&CompactString, f64, bool)> {
        let runners = self.runners.iter();
        runners.map(|(identity, r)| (identity, r.rate, r.cold.is_some()))
    }
}

/// Returns the rest of the cold time of a runner that started at `born_ms`, if it is not over. None if
/// the start lies in the future: the clock is wrong, and would make all runners new ones.
fn time_left_since(born_ms: u64, wall_clock_ms: u64, time: Duration) -> Option<Duration> {
    let latest_ms = wall_clock_ms.saturating_add(time.as_millis() as u64);
    if born_ms == 0 || born_ms > latest_ms {
        return None;
    }
    let age = Duration::from_millis(wall_clock_ms.saturating_sub(born_ms));
    time.checked_sub(age).filter(|left| !left.is_zero())
}
