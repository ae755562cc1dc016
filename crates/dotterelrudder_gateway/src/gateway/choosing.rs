//! Which of the open runners takes a request.
//!
//! Load pattern: sessions come back through any entry, prompts of very different sizes meet at
//! runners whose memories fill up, and all entries act on reports of the same age. Each request
//! goes, among the runners in sight, where its first token is expected first; what has no room
//! waits. The other policies are baselines, kept so that the choice can be measured against them:
//! docs/design/waiting.md has the table.

use super::Gateway;
use crate::cache_salt;
use crate::memory_limit;
use crate::memory_reserve::SHORT_PROMPT_TOKENS;
use crate::rendezvous_rank;
use crate::runners_in_sight;
use crate::sight::WARM_RUNNERS;
use crate::FirstTokenEstimate;
use crate::NotPlaced;
use crate::PlacementQuery;
use crate::Prompt;
use crate::RunnerKey;
use crate::RunnerState;
use compact_str::CompactString;
use dotterelrudder_types::RoutingPolicy;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::PartKey;
use std::cmp::Reverse;
use std::time::Duration;

/// Tokens that a runner has to read at most when a long prompt is sent to it: what it reads within
/// a quarter of a second, so that short prompts behind it stay in time.
const MOST_BACKLOG_TOKENS: f64 = 14_000.0;

/// What a request's choice goes by beside the single runners.
#[derive(Debug)]
pub(super) struct Standing {
    /// The runners of its session in their order of preference.
    pub(super) home: Vec<RunnerKey>,
    /// The mean share of memory in use at the open runners.
    pub(super) fill: f64,
}

/// A runner that may take the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate {
    /// Its place in this entry's present draw.
    pub(super) draw: u32,
    /// The runner.
    pub(super) key: RunnerKey,
}

impl Gateway {
    /// Chooses among the open runners by the policy of the settings.
    pub(super) fn choose(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        standing: &Standing,
        mut open: Vec<Candidate>,
    ) -> Result<(RunnerKey, FirstTokenEstimate), NotPlaced> {
        let home = &standing.home;
        let chosen = match self.settings.policy {
            RoutingPolicy::ExpectedCost
            | RoutingPolicy::AlwaysImport
            | RoutingPolicy::AlwaysRecompute => {
                if let Some(prompt) = query.prompt {
                    self.keep_those_with_room(now, query, prompt, standing, &mut open);
                }
                let estimated = open
                    .into_iter()
                    .map(|c| (self.estimate_of(now, query, home, c.key), c));
                let best = estimated.min_by_key(|(e, c)| (e.expected, c.draw));
                return best.map(|(e, c)| (c.key, e)).ok_or(NotPlaced::Busy);
            }
            RoutingPolicy::RoundRobin => {
                open.sort_unstable_by_key(|c| c.key);
                let turn = self.turn as usize % open.len().max(1);
                open.get(turn).copied()
            }
            RoutingPolicy::LeastLoaded => open.into_iter().min_by_key(|c| {
                let batch = self.runners.get(c.key).map_or(0.0, |r| r.batch(now));
                (batch as u64, c.draw)
            }),
            RoutingPolicy::HashAffinity => open.into_iter().min_by_key(|c| {
                let place = home.iter().position(|k| *k == c.key);
                (place.unwrap_or(usize::MAX), c.draw)
            }),
        };
        let chosen = chosen.ok_or(NotPlaced::Busy)?;
        let estimate = self.estimate_of(now, query, home, chosen.key);
        Ok((chosen.key, estimate))
    }

    /// Looks once at what the choice and the plan for the KV cache both go by.
    pub(super) fn standing(&self, now: Duration, query: &PlacementQuery<'_>) -> Standing {
        Standing {
            home: self.home_order(query),
            fill: self.fill(now, query.service),
        }
    }

    fn estimate_of(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        home: &[RunnerKey],
        key: RunnerKey,
    ) -> FirstTokenEstimate {
        let place = home.iter().position(|k| *k == key);
        let runner = self.runners.get(key);
        runner.map_or_else(FirstTokenEstimate::default, |r| {
            self.expected(now, r, query, place)
        })
    }

    /// Returns the mean share of memory in use at the open runners of a service.
    fn fill(&self, now: Duration, service: &ServiceName) -> f64 {
        let runners = self.runners.of_service(service);
        let open: Vec<f64> = runners
            .filter(|(_, r)| r.is_open(now) && !r.suspected)
            .map(|(_, r)| r.memory(now, 0.0))
            .collect();
        open.iter().sum::<f64>() / open.len().max(1) as f64
    }

    /// Leaves those in sight that have room for the prompt.
    fn keep_those_with_room(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        prompt: &Prompt,
        standing: &Standing,
        open: &mut Vec<Candidate>,
    ) {
        open.sort_unstable();
        let sight = runners_in_sight(open.len(), self.entries);
        let (mut place, mut warm) = (0, 0);
        open.retain(|c| {
            place += 1;
            let Some(runner) = self.runners.get(c.key) else {
                return false;
            };
            let mut in_sight = place <= sight || standing.home.contains(&c.key);
            if !in_sight && warm < WARM_RUNNERS {
                in_sight = runner.connections.is_warm(now, query.repeatable);
                warm += usize::from(in_sight);
            }
            in_sight && has_room(now, runner, prompt, standing.fill)
        });
    }

    /// Returns the runners of a session in its order of preference.
    fn home_order(&self, query: &PlacementQuery<'_>) -> Vec<RunnerKey> {
        let Some(part) = query.prompt.and_then(Prompt::session_part) else {
            return Vec::new();
        };
        let runners = self.runners.of_service(query.service);
        let mut ranked: Vec<((bool, u64), RunnerKey)> = runners
            .filter(|(_, r)| !r.row.leaving)
            .map(|(key, r)| {
                let rank = rendezvous_rank(&part.id, &r.row.identity);
                ((self.is_near_store(query, r, &part.id), rank), key)
            })
            .collect();
        ranked.sort_unstable_by_key(|r| Reverse(*r));
        ranked.into_iter().take(2).map(|(_, key)| key).collect()
    }

    /// Returns whether a session's part is stored in the runner's data centre.
    fn is_near_store(
        &self,
        query: &PlacementQuery<'_>,
        runner: &RunnerState,
        part: &CompactString,
    ) -> bool {
        let Some(prompt) = query.prompt else {
            return false;
        };
        let salt = cache_salt(runner.version_of(&prompt.model), query.account);
        let part = part.clone();
        let place = self.stored.data_centre_of(&PartKey { salt, part });
        place == Some(&runner.row.data_centre)
    }
}

/// Returns whether a runner can take a prompt without preempting others or keeping short ones
/// behind much to read. An empty runner takes any prompt.
fn has_room(now: Duration, runner: &RunnerState, prompt: &Prompt, fill: f64) -> bool {
    let full = runner.memory(now, prompt.peak_tokens() as f64) > memory_limit(prompt, fill);
    let busy_reading =
        prompt.tokens > SHORT_PROMPT_TOKENS && runner.backlog(now) > MOST_BACKLOG_TOKENS;
    !(full || busy_reading) || runner.batch(now) <= 0.0
}
