//! The runners that may take a request, and where its KV cache comes from.
//!
//! Load pattern: some runners are lost, loading, leaving, or serve weights that were replaced, and
//! callers come back at once. Where none is open, the caller is told when one may be; where some
//! are, `choosing` decides among them.

use super::choosing::Candidate;
use super::choosing::Standing;
use super::Gateway;
use super::RETRY_AFTER_RESTART;
use crate::cache_salt;
use crate::fetch_patience;
use crate::CachePlan;
use crate::NotPlaced;
use crate::Placement;
use crate::PlacementQuery;
use crate::Prompt;
use crate::RunnerKey;
use crate::RunnerState;
use crate::SIGHT_PERIOD;
use compact_str::format_compact;
use compact_str::CompactString;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::RoutingPolicy;
use dotterelrudder_wire::RunnerRecord;
use dotterelrudder_wire::FETCH_LIMIT;
use std::net::SocketAddr;
use std::time::Duration;

/// Before a runner's limit on named weights, to cover the time that a request waits at its runner.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(2_500);
/// When a caller may come back at the earliest.
const RETRY_LEAST: Duration = Duration::from_millis(300);

impl Gateway {
    /// Chooses the runner of a request by the policy of the settings, and where its KV cache comes
    /// from.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no runner is open, and that the request has to wait when none has
    /// room for it.
    pub fn place(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
    ) -> Result<Placement, NotPlaced> {
        self.draw_sight(now);
        self.turn = self.turn.wrapping_add(1);
        let open = self.open_runners(now, query)?;
        let standing = self.standing(now, query);
        let (suspected, trusted): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|c| self.suspects(c.key));
        let chosen = self.choose(now, query, &standing, trusted);
        let (key, estimate) = match chosen {
            Err(NotPlaced::Busy) => self.choose(now, query, &standing, suspected)?,
            chosen => chosen?,
        };
        let runner = self.runners.get(key).ok_or(NotPlaced::Busy)?;
        let weights = query.prompt.and_then(|p| runner.version_of(&p.model));
        let load_age = runner.load_age(now);
        let row = runner.row.clone();
        let salt = query.prompt.map(|_| cache_salt(weights, query.account));
        let cache = match (query.prompt, &salt) {
            (Some(prompt), Some(salt)) => self.plan_cache(
                now,
                query,
                &standing,
                (prompt, salt),
                (key, estimate.expected),
                &row,
            ),
            _ => CachePlan::default(),
        };
        Ok(Placement {
            runner: key,
            address: row.address,
            identity: row.identity,
            weights,
            cache_salt: salt,
            cache,
            estimate,
            load_age,
        })
    }

    /// Returns whether a runner is passed over while others have room.
    fn suspects(&self, key: RunnerKey) -> bool {
        self.runners.get(key).is_some_and(|r| r.suspected)
    }

    /// Returns the runners that may take the request, with their places in the draw.
    fn open_runners(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
    ) -> Result<Vec<Candidate>, NotPlaced> {
        let mut open = Vec::new();
        let mut opens: Option<Duration> = None;
        let mut loading = false;
        for (key, runner) in self.runners.of_service(query.service) {
            if query.tried.contains(&key) {
                continue;
            }
            if !runner.is_open(now) || !self.serves_weights(now, runner, query.prompt) {
                let until = runner.health.spared_until();
                if runner.listed && !runner.row.leaving && until > now {
                    opens = Some(opens.map_or(until, |o| o.min(until)));
                }
                continue;
            }
            if query.prompt.is_some() && runner.is_loading(now) {
                loading = true;
                continue;
            }
            open.push(Candidate {
                draw: runner.draw,
                key,
            });
        }
        if !open.is_empty() {
            return Ok(open);
        }
        // Loading takes a second or two, after which the runner takes requests again.
        if loading {
            return Err(NotPlaced::Busy);
        }
        let detail = format_compact!("no open backend server of \"{}\"", query.service);
        let mut refusal = Refusal::new(ErrorKind::NoBackendServer, detail);
        let wait = opens.map_or(RETRY_AFTER_RESTART, |at| at.saturating_sub(now));
        refusal.retry_after = Some(self.spread(wait.max(RETRY_LEAST)));
        Err(NotPlaced::Refused(refusal))
    }

    /// Draws anew among which runners this entry chooses, when the last draw is old.
    fn draw_sight(&mut self, now: Duration) {
        let due = self.drawn_at.is_none_or(|at| now >= at + SIGHT_PERIOD);
        if due {
            self.drawn_at = Some(now);
            self.runners.draw_places(&mut self.rng);
        }
    }

    /// Plans where the prompt's KV cache comes from: a store, or else the runner that read the
    /// session's part last.
    fn plan_cache(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
        standing: &Standing,
        (prompt, salt): (&Prompt, &str),
        (chosen, expected): (RunnerKey, Duration),
        row: &RunnerRecord,
    ) -> CachePlan {
        let near = &row.data_centre;
        let expected = match self.settings.policy {
            RoutingPolicy::ExpectedCost => expected,
            RoutingPolicy::AlwaysImport => FETCH_LIMIT,
            _ => return CachePlan::default(),
        };
        let patience = fetch_patience(query.objective, standing.fill);
        let mut plan = self
            .stored
            .plan(now, prompt, salt, near, patience, expected);
        let Some(session) = prompt.session_part() else {
            return plan;
        };
        let place = prompt.parts.iter().position(|p| p.id == session.id);
        let Some(place) = place.filter(|i| i + 1 < prompt.parts.len()) else {
            return plan;
        };
        if plan.fetch.is_empty() {
            plan.fetch = prompt.parts.iter().map(|_| None).collect();
            plan.save = plan.fetch.clone();
        }
        if plan.fetch[place].is_none() {
            plan.fetch[place] = self.peer_source(now, query, standing, &session.id, chosen);
        }
        plan
    }

    /// Returns another runner that used a session lately, as far as this entry knows.
    fn peer_source(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        standing: &Standing,
        session: &CompactString,
        chosen: RunnerKey,
    ) -> Option<SocketAddr> {
        let peers = self.runners.of_service(query.service);
        let holding = peers.filter(|(key, r)| {
            *key != chosen && is_source(now, r) && r.holds_session(session, now)
        });
        let last = holding.max_by_key(|(_, r)| r.session_used(session));
        if let Some((_, runner)) = last {
            return Some(runner.row.address);
        }
        // Another entry may have sent the session's last request to its home; a miss costs little.
        let home = *standing.home.first()?;
        let runner = self.runners.get(home).filter(|_| home != chosen)?;
        is_source(now, runner).then_some(runner.row.address)
    }

    /// Returns whether a runner's weights may still begin a request.
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

/// Returns whether KV cache may be fetched from a runner; one that doesn't answer costs tenths of a
/// second.
fn is_source(now: Duration, runner: &RunnerState) -> bool {
    runner.is_open(now) && !runner.is_loading(now) && !runner.suspected
}
