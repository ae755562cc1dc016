//! Placement of a request: the open runners of its service, the runner that is chosen among them,
//! and the source of the prompt's KV cache.
//!
//! Load pattern: some runners are lost, loading, leaving or serving outdated weights, and refused
//! callers retry at once. If no runner is open, the refusal says when one may be open again.
//! Otherwise `runner_selection` chooses among the open runners.

use super::runner_selection::OpenRunner;
use super::runner_selection::SelectionContext;
use super::Gateway;
use super::DEFAULT_RETRY_AFTER;
use super::MIN_RETRY_AFTER;
use crate::fetch_time_limit;
use crate::CachePlan;
use crate::FirstTokenEstimate;
use crate::NotPlaced;
use crate::PermitWait;
use crate::Placement;
use crate::PlacementQuery;
use crate::Prompt;
use crate::RunnerKey;
use crate::RunnerState;
use crate::CANDIDATE_SAMPLING_PERIOD;
use compact_str::format_compact;
use compact_str::CompactString;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::RoutingPolicy;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::cache_salt;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::FETCH_LIMIT;
use std::net::SocketAddr;
use std::time::Duration;

/// Subtracted from the time limit on outdated weights, to cover the time that a request waits at
/// its runner before it begins.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(2_500);

impl Gateway {
    /// Chooses the runner of a request by the configured policy, and plans the KV-cache transfers.
    ///
    /// # Errors
    ///
    /// Returns [`NotPlaced::Refused`] if no runner is open, and [`NotPlaced::Busy`] if the request
    /// has to wait because no open runner has room for it, and [`NotPlaced::Limited`] if all open
    /// runners have a request limit and there is no permit.
    pub fn place(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
    ) -> Result<Placement, NotPlaced> {
        self.resample_candidates(now);
        self.watch_for_pause(now);
        self.advance_limits(now);
        self.placements = self.placements.wrapping_add(1);
        let (mut open, mut failing) = self.open_and_failing_runners(now, query)?;
        open.retain(|c| !self.is_held_back(c.key));
        failing.retain(|c| !self.is_held_back(c.key));
        if open.is_empty() {
            return Err(NotPlaced::Busy);
        }
        let context = self.selection_context(now, query);
        let (allowed, exhausted): (Vec<_>, Vec<_>) = open
            .iter()
            .partition(|c| self.is_allowed(now, query, c.key));
        if allowed.is_empty() {
            return Err(NotPlaced::Limited(
                self.queue_for_permit(now, query, &exhausted),
            ));
        }
        let passed_over = self.want_permit(now, query, &context, &open, &exhausted);
        let best = self.choose_trusted_first(now, query, &context, &allowed);
        let (key, estimate) = self.choose_failing_if_late(now, query, &context, best, &failing)?;
        let limit = self.take_permit(now, query, key, passed_over);
        let runner = self.runners.get(key).ok_or(NotPlaced::Busy)?;
        let weights = query.prompt.and_then(|p| runner.version_of(&p.model));
        let load_age = runner.load_age(now);
        let record = runner.record.clone();
        let salt = query
            .prompt
            .map(|_| cache_salt(weights.unwrap_or(0), query.cache_group));
        let cache = match (query.prompt, &salt) {
            (Some(prompt), Some(salt)) => self.plan_cache(
                now,
                query,
                &context,
                (prompt, salt),
                (key, estimate.expected),
                &record,
            ),
            _ => CachePlan::default(),
        };
        Ok(Placement {
            runner: key,
            address: record.address,
            data_centre: record.data_centre,
            evacuated: self.runners.evacuated().iter().cloned().collect(),
            identity: record.identity,
            born_ms: record.born_ms,
            software: record.software,
            weights,
            cache_salt: salt,
            cache,
            estimate,
            load_age,
            limit,
        })
    }

    /// Returns whether a runner that isn't suspected has room for the request now. Nothing is
    /// placed.
    pub fn has_room_for(&mut self, now: Duration, query: &PlacementQuery<'_>) -> bool {
        let Ok(mut open) = self.open_runners(now, query) else {
            return false;
        };
        open.retain(|c| {
            self.is_allowed(now, query, c.key)
                && !self.is_suspected(c.key)
                && !self.is_held_back(c.key)
        });
        let context = self.selection_context(now, query);
        self.choose(now, query, &context, open).is_ok()
    }

    /// Chooses one of the runners; suspected ones only if no other has room.
    fn choose_trusted_first(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        context: &SelectionContext,
        open: &[OpenRunner],
    ) -> Result<(RunnerKey, FirstTokenEstimate), NotPlaced> {
        let (suspected, trusted): (Vec<_>, Vec<_>) =
            open.iter().partition(|c| self.is_suspected(c.key));
        match self.choose(now, query, context, trusted) {
            Err(NotPlaced::Busy) => self.choose(now, query, context, suspected),
            chosen => chosen,
        }
    }

    /// Replaces the chosen runner of a stream that can go on at one version only by one that failed
    /// requests, if no open one has room, or the chosen one is estimated to miss the objective and the
    /// other to begin earlier.
    /// While all runners of a version fail a part of their requests, a single one that is open at the
    /// moment gets all its streams otherwise, and begins none in time.
    fn choose_failing_if_late(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        context: &SelectionContext,
        best: Result<(RunnerKey, FirstTokenEstimate), NotPlaced>,
        failing: &[OpenRunner],
    ) -> Result<(RunnerKey, FirstTokenEstimate), NotPlaced> {
        let in_time =
            |(_, estimate): &(_, FirstTokenEstimate)| estimate.expected <= query.objective;
        if failing.is_empty() || best.as_ref().is_ok_and(in_time) {
            return best;
        }
        let allowed = failing.iter().copied();
        let allowed = allowed.filter(|c| self.is_allowed(now, query, c.key));
        let Ok(other) = self.choose(now, query, context, allowed.collect()) else {
            return best;
        };
        match best {
            Ok(best) if best.1.expected <= other.1.expected => Ok(best),
            _ => Ok(other),
        }
    }

    /// Records demand for a permit of a request that waits in the queue behind others. Returns the
    /// estimated wait; none unless all open runners have a request limit.
    pub fn queue_behind_others(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
    ) -> Option<PermitWait> {
        if self.limited_runners() == 0 {
            return None;
        }
        let open = self.open_runners(now, query).ok()?;
        let is_limited = |c: &OpenRunner| {
            let runner = self.runners.get(c.key);
            runner.is_some_and(|r| r.limit.rate().is_some())
        };
        let all_limited = open.iter().all(is_limited);
        all_limited.then(|| self.queue_for_permit(now, query, &open))
    }

    /// Records demand for a permit if the best of the open runners is one of the `exhausted`, which
    /// have a limit and no permit. Returns that runner.
    fn want_permit(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
        context: &SelectionContext,
        open: &[OpenRunner],
        exhausted: &[OpenRunner],
    ) -> Option<RunnerKey> {
        if exhausted.is_empty() {
            return None;
        }
        let best = self.choose_trusted_first(now, query, context, open);
        let (key, _) = best.ok()?;
        let wanted = exhausted.iter().any(|c| c.key == key);
        let runner = self.runners.get_mut(key).filter(|_| wanted)?;
        runner.limit.want(now, query.urgency, query.request);
        Some(key)
    }

    /// Returns whether a runner is suspected; such a runner is only used if no other has room.
    fn is_suspected(&self, key: RunnerKey) -> bool {
        self.runners.get(key).is_some_and(|r| r.suspected)
    }

    /// Returns the open runners that may take the request, with their sampling ranks.
    fn open_runners(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
    ) -> Result<Vec<OpenRunner>, NotPlaced> {
        let runners = self.open_and_failing_runners(now, query);
        runners.map(|(open, _)| open)
    }

    /// Returns the open runners that may take the request, and those that only failures speak
    /// against, if the request is a stream that can go on at one version only. The latter count as
    /// open if there are no others.
    fn open_and_failing_runners(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
    ) -> Result<(Vec<OpenRunner>, Vec<OpenRunner>), NotPlaced> {
        let mut open = Vec::new();
        let mut failing = Vec::new();
        let mut earliest_open: Option<Duration> = None;
        let mut loading = false;
        let mut has_version = false;
        let (mut any_evacuated, mut all_evacuated) = (false, true);
        for (key, runner) in self.runners.of_service(query.service) {
            if query
                .software
                .is_some_and(|v| runner.record.software.as_deref() != Some(v))
            {
                continue;
            }
            has_version = true;
            any_evacuated |= runner.evacuated;
            all_evacuated &= runner.evacuated;
            if query.tried.contains(&key) {
                continue;
            }
            let candidate = OpenRunner {
                sampling_rank: runner.sampling_rank,
                key,
            };
            let serves_weights = self.serves_weights(now, runner, query.prompt);
            if query.software.is_some() && serves_weights && runner.is_open_but_for_failures(now) {
                failing.push(candidate);
            }
            if !runner.is_open(now) || !serves_weights {
                let until = runner.health.cooldown_until();
                if runner.listed && !runner.record.leaving && !runner.evacuated && until > now {
                    earliest_open = Some(earliest_open.map_or(until, |o| o.min(until)));
                }
                continue;
            }
            if query.prompt.is_some() && runner.is_loading(now) {
                loading = true;
                continue;
            }
            open.push(candidate);
        }
        if open.is_empty() {
            open = std::mem::take(&mut failing);
        }
        if !open.is_empty() {
            return Ok((open, failing));
        }
        if query.software.is_some() && !has_version {
            let refusal = self.resume_refusal(query.service, query.software);
            return Err(NotPlaced::Refused(refusal));
        }
        // Loading takes one to two seconds; the runner accepts requests again afterwards.
        if loading {
            return Err(NotPlaced::Busy);
        }
        let detail = match any_evacuated && all_evacuated {
            true => self.evacuation_detail(query.service),
            false => format_compact!("no open backend server of \"{}\"", query.service),
        };
        let mut refusal = Refusal::new(ErrorKind::NoBackendServer, detail);
        let wait = earliest_open.map_or(DEFAULT_RETRY_AFTER, |at| at.saturating_sub(now));
        refusal.retry_after = Some(self.add_jitter(wait.max(MIN_RETRY_AFTER)));
        Err(NotPlaced::Refused(refusal))
    }

    /// Returns the text of a refusal because all runners of a service are in evacuated data centres.
    fn evacuation_detail(&self, service: &ServiceName) -> CompactString {
        let names: Vec<&str> = self
            .runners
            .evacuated()
            .iter()
            .map(|d| d.as_str())
            .collect();
        format_compact!(
            "all backend servers of \"{service}\" are in evacuated data centres ({})",
            names.join(", ")
        )
    }

    /// Draws a new random sample of candidate runners when the last one is older than
    /// [`CANDIDATE_SAMPLING_PERIOD`].
    fn resample_candidates(&mut self, now: Duration) {
        let due = self
            .sampled_at
            .is_none_or(|at| now >= at + CANDIDATE_SAMPLING_PERIOD);
        if due {
            self.sampled_at = Some(now);
            self.runners.resample_ranks(&mut self.rng);
        }
    }

    /// Plans the source of the prompt's KV cache: a store, or otherwise the runner that processed
    /// the session's part last.
    fn plan_cache(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
        context: &SelectionContext,
        (prompt, salt): (&Prompt, &str),
        (chosen, expected): (RunnerKey, Duration),
        record: &RunnerRecord,
    ) -> CachePlan {
        let data_centre = &record.data_centre;
        let expected = match self.settings.policy {
            RoutingPolicy::ExpectedCost => expected,
            RoutingPolicy::AlwaysImport => FETCH_LIMIT,
            _ => return CachePlan::default(),
        };
        let time_limit = fetch_time_limit(query.objective, context.mean_utilisation);
        let mut plan = self
            .stored_parts
            .plan(now, prompt, salt, data_centre, time_limit, expected);
        let Some(session) = prompt.session_part() else {
            return plan;
        };
        let index = prompt.parts.iter().position(|p| p.id == session.id);
        let Some(index) = index.filter(|i| i + 1 < prompt.parts.len()) else {
            return plan;
        };
        if plan.fetch.is_empty() {
            plan.fetch = prompt.parts.iter().map(|_| None).collect();
            plan.save = plan.fetch.clone();
        }
        if plan.fetch[index].is_none() {
            plan.fetch[index] = self.peer_source(now, query, context, &session.id, chosen);
        }
        plan
    }

    /// Returns another runner that probably still holds the session's KV cache.
    fn peer_source(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        context: &SelectionContext,
        session: &CompactString,
        chosen: RunnerKey,
    ) -> Option<SocketAddr> {
        let peers = self.runners.of_service(query.service);
        let holding = peers.filter(|(key, r)| {
            *key != chosen && may_serve_fetch(now, r) && r.holds_session(session, now)
        });
        let latest = holding.max_by_key(|(_, r)| r.session_last_used(session));
        if let Some((_, runner)) = latest {
            return Some(runner.record.address);
        }
        // Another entry may have sent the session's last request to its first preferred runner.
        // Fetching from a runner that does not hold the part costs little.
        let preferred = *context.preferred.first()?;
        let runner = self
            .runners
            .get(preferred)
            .filter(|_| preferred != chosen)?;
        may_serve_fetch(now, runner).then_some(runner.record.address)
    }

    /// Returns whether requests may still begin on the weights that a runner serves.
    fn serves_weights(&self, now: Duration, runner: &RunnerState, prompt: Option<&Prompt>) -> bool {
        let Some(prompt) = prompt else {
            return true;
        };
        let Some(held) = runner.version_of(&prompt.model) else {
            return false;
        };
        let limit = self
            .settings
            .old_weights_limit
            .saturating_sub(WEIGHTS_MARGIN);
        let named = self.weights.get(&prompt.model);
        let since = named.and_then(|n| n.outdated_since(held));
        since.is_none_or(|at| now < at + limit)
    }
}

/// Returns whether KV cache may be fetched from a runner. Fetching from a runner that does not
/// respond costs tenths of a second.
fn may_serve_fetch(now: Duration, runner: &RunnerState) -> bool {
    runner.is_open(now) && !runner.is_loading(now) && !runner.suspected
}
