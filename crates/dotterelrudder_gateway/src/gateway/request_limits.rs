//! Request limits of runners: reports to the leader, permits from it, and what an entry does when
//! it has none.
//!
//! Load pattern: a runner, or all runners of a service, take fewer requests than come. What other
//! runners can take goes there at once; the rest waits for permits in the order of the wait queue,
//! and is refused at once when it can't get one in time.

use super::runner_selection::OpenRunner;
use super::Gateway;
use crate::AnswerLimit;
use crate::AppliedLimit;
use crate::PermitWait;
use crate::PlacementQuery;
use crate::RunnerKey;
use dotterelrudder_wire::LimitGrants;
use dotterelrudder_wire::LimitReport;
use dotterelrudder_wire::LimitUpdate;
use std::time::Duration;

/// The interval at which known limits are reported without a change, so that a new leader learns
/// them and an entry notices that it is cut off.
pub const LIMIT_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long the demand at all entries is taken to be as the leader told it.
const DEMAND_KNOWN_FOR: Duration = Duration::from_millis(100);
/// The factor by which the estimated wait exceeds the mean one: entries get permits in turn, so that a
/// request in a long queue waits longer than the demand before it tells.
const WAIT_MARGIN: f64 = 1.5;
/// The longest wait for a permit that is told to a caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

impl Gateway {
    /// Records what a runner's answer states about its request limit. Returns the previous and the
    /// new limit in requests per second if the limit in force changed.
    pub fn on_answer_limit(
        &mut self,
        now: Duration,
        runner: RunnerKey,
        limit: AnswerLimit,
    ) -> Option<(Option<f64>, Option<f64>)> {
        let answering = self.runners.get_mut(runner)?;
        answering.on_answer_begun();
        let limited = &mut answering.limit;
        let before = limited.rate();
        limited.on_answer(now, limit);
        let after = limited.rate();
        if before != after {
            self.runners.track_limit(runner);
        }
        (before != after).then_some((before, after))
    }

    /// Applies limits that the leader announced.
    pub fn on_limit_updates(&mut self, now: Duration, updates: Vec<LimitUpdate>) {
        for update in updates {
            self.runners
                .announce_limit(now, &update.runner, update.rate);
        }
    }

    /// Applies permits that the leader granted. Permits for a report that is no longer remembered
    /// have expired.
    pub fn on_limit_grants(&mut self, grants: &LimitGrants) {
        let Some(reported_at) = self.limit_reports.answered(grants.number) else {
            return;
        };
        for grant in &grants.grants {
            if let Some(runner) = self.runners.find_mut(&grant.runner) {
                runner.limit.on_grant(grant, reported_at);
            }
        }
    }

    /// Returns whether the leader should hear of a limit or of demand at once.
    pub fn is_limit_report_due(&self) -> bool {
        self.runners.limited().any(|r| r.limit.is_report_due())
    }

    /// Returns the next report about request limits: of runners with news, and of all runners with a
    /// limit once in [`LIMIT_REPORT_INTERVAL`]. None if there is nothing to report.
    pub fn take_limit_report(&mut self, now: Duration) -> Option<LimitReport> {
        self.advance_limits(now);
        let is_complete = now >= self.limits_reported_at + LIMIT_REPORT_INTERVAL;
        let mut rows = Vec::new();
        self.runners.for_each_limited(|r| {
            if is_complete || r.limit.is_report_due() {
                rows.extend(r.limit.take_demand(&r.record.identity));
            }
        });
        if rows.is_empty() {
            return None;
        }
        if is_complete {
            self.limits_reported_at = now;
        }
        Some(LimitReport {
            number: self.limit_reports.sent(now),
            runners: rows,
        })
    }

    /// Returns the number of listed runners with a request limit.
    pub fn limited_runners(&self) -> usize {
        self.runners.limited().count()
    }

    /// Returns the number of unused permits for all runners.
    pub fn unused_permits(&self) -> usize {
        self.runners.limited().map(|r| r.limit.permits()).sum()
    }

    /// Removes what has expired from the state of limits.
    pub(super) fn advance_limits(&mut self, now: Duration) {
        let entries = self.entries.get();
        let is_cut_off = self.limit_reports.is_cut_off(now);
        let phase = self.reserve_phase;
        let confirmed_at = self
            .lease
            .age(now)
            .map_or(Duration::ZERO, |age| now.saturating_sub(age));
        self.runners.for_each_limited(|r| {
            r.limit
                .advance(now, entries, is_cut_off, phase, confirmed_at);
        });
        self.runners.forget_ended_limits();
    }

    /// Returns whether a request may be sent to a runner now, by its request limit.
    pub(super) fn is_allowed(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        key: RunnerKey,
    ) -> bool {
        let runner = self.runners.get(key);
        runner.is_some_and(|r| r.limit.allows(now, query.urgency))
    }

    /// Takes the permit of a request that is placed. Returns the limits that bore on it.
    pub(super) fn take_permit(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
        key: RunnerKey,
        passed_over: Option<RunnerKey>,
    ) -> AppliedLimit {
        // The demand of a request that another runner takes stays for a moment: the permit that it
        // brings serves the next request.
        if passed_over.is_none() {
            self.forget_demand(query.request);
        }
        let passed_over = passed_over.and_then(|k| self.runners.get(k));
        let passed_over = passed_over.map(|r| r.record.identity.clone());
        let answered_ago = now.saturating_sub(self.limit_reports.answered_at());
        let Some(runner) = self.runners.get_mut(key) else {
            return AppliedLimit::default();
        };
        let send_by = runner.limit.take(now, query.urgency);
        AppliedLimit {
            rate: runner.limit.rate(),
            cold_rate: runner.limit.cold_rate(),
            warms_up: self.warm_ups.contains_key(&runner.record.service),
            send_by,
            permits_left: runner.limit.permits(),
            answered_ago,
            passed_over,
        }
    }

    /// Records demand for a permit at the limited runner with the shortest wait, or where the request
    /// waits already. Returns the estimated wait until it gets a permit for any of them.
    pub(super) fn queue_for_permit(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
        limited: &[OpenRunner],
    ) -> PermitWait {
        let answered_at = self.limit_reports.answered_at();
        let is_cut_off = self.limit_reports.is_cut_off(now);
        let entries = self.entries.get();
        let mut is_cold = false;
        let mut warm_at: Option<Duration> = None;
        let (mut rates, mut waiting) = (0.0, 1.0);
        let mut shortest: Option<(f64, RunnerKey)> = None;
        let mut wanted_since = None;
        for open in limited {
            let Some(runner) = self.runners.get(open.key) else {
                continue;
            };
            let rate = runner.limit.permit_rate(entries, is_cut_off);
            is_cold |= runner.limit.cold_rate().is_some();
            let warm = runner.limit.cold_until();
            warm_at = warm.map_or(warm_at, |at| Some(warm_at.map_or(at, |w| w.min(at))));
            let ahead = f64::from(runner.limit.waiting_before(query.urgency, query.request));
            rates += rate;
            waiting += ahead;
            let since = runner.limit.wanted_since(query.request);
            wanted_since = wanted_since.or(since);
            let wait = since.map_or((ahead + 1.0) / rate, |_| 0.0);
            if shortest.is_none_or(|(least, _)| wait < least) {
                shortest = Some((wait, open.key));
            }
        }
        if let Some(runner) = shortest.and_then(|(_, key)| self.runners.get_mut(key)) {
            runner.limit.want(now, query.urgency, query.request);
        }
        let time =
            Duration::try_from_secs_f64(waiting / rates * WAIT_MARGIN).unwrap_or(MAX_RETRY_AFTER);
        // A runner that is warm takes what waits without permits.
        let time = warm_at.map_or(time, |at| time.min(at.saturating_sub(now)));
        let is_recent = now < answered_at + DEMAND_KNOWN_FOR;
        PermitWait {
            time: time.min(MAX_RETRY_AFTER),
            is_known: is_cut_off || is_recent || wanted_since.is_some_and(|at| answered_at >= at),
            is_cold,
        }
    }

    /// Removes the demand of a request that no longer waits.
    pub fn forget_demand(&mut self, request: u64) {
        self.runners.for_each_limited(|r| r.limit.forget(request));
    }
}
