//! Runner selection: chooses one of the open runners for a request.
//!
//! Load pattern: requests of a session arrive through any entry, prompts of very different sizes
//! compete for runners whose memory fills up, and all entries act on load reports of the same age.
//! A request goes to the candidate runner with the lowest estimated time to the first token; if no
//! candidate has room, it waits. The other policies are baselines for comparison;
//! docs/design/waiting.md has the measurements.

use super::Gateway;
use crate::candidate_set_size;
use crate::memory_limit;
use crate::placement::MAX_UTILISATION;
use crate::placement::MAX_WARM_CANDIDATES;
use crate::placement::SHORT_PROMPT_TOKENS;
use crate::rendezvous_score;
use crate::FirstTokenEstimate;
use crate::NotPlaced;
use crate::PlacementQuery;
use crate::Prompt;
use crate::RoomRule;
use crate::RunnerKey;
use crate::RunnerState;
use compact_str::CompactString;
use dotterelrudder_types::RoutingPolicy;
use dotterelrudder_types::ServiceName;
use dotterelrudder_wire::cache_salt;
use dotterelrudder_wire::PartKey;
use std::cmp::Reverse;
use std::time::Duration;

/// The largest prefill backlog of a runner, in tokens, at which it is sent a long prompt. It takes
/// about a quarter of a second to prefill, so that short prompts queued behind it still meet their
/// objective.
const MAX_BACKLOG_TOKENS: f64 = 14_000.0;

/// The largest prefill backlog of a runner, in tokens, to which a long prompt may raise it while more
/// urgent ones find no capacity. It takes 0.39 s to prefill, so that a short prompt behind it still meets
/// an objective of half a second.
const MAX_FILLED_BACKLOG_TOKENS: f64 = 22_000.0;

/// Inputs of the selection that are the same for all runners.
#[derive(Debug)]
pub(super) struct SelectionContext {
    /// The preferred runners of the session, most preferred first.
    pub(super) preferred: Vec<RunnerKey>,
    /// The mean memory utilisation of the service's open runners, from 0 to 1.
    pub(super) mean_utilisation: f64,
}

/// A runner that is open for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OpenRunner {
    /// Its random rank in this entry's current sample; the lowest ranks are candidates.
    pub(super) sampling_rank: u32,
    /// The runner's key in the runner table.
    pub(super) key: RunnerKey,
}

impl Gateway {
    /// Chooses one of the open runners by the configured policy.
    pub(super) fn choose(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        context: &SelectionContext,
        mut open: Vec<OpenRunner>,
    ) -> Result<(RunnerKey, FirstTokenEstimate), NotPlaced> {
        let preferred = &context.preferred;
        let chosen = match self.settings.policy {
            RoutingPolicy::ExpectedCost
            | RoutingPolicy::AlwaysImport
            | RoutingPolicy::AlwaysRecompute => {
                if let Some(prompt) = query.prompt {
                    self.retain_candidates_with_room(now, query, prompt, context, &mut open);
                }
                let estimated = open
                    .into_iter()
                    .map(|c| (self.estimate_runner(now, query, preferred, c.key), c));
                let best = estimated.min_by_key(|(e, c)| (e.expected, c.sampling_rank));
                return best.map(|(e, c)| (c.key, e)).ok_or(NotPlaced::Busy);
            }
            RoutingPolicy::RoundRobin => {
                open.sort_unstable_by_key(|c| c.key);
                let index = self.placements as usize % open.len().max(1);
                open.get(index).copied()
            }
            RoutingPolicy::LeastLoaded => open.into_iter().min_by_key(|c| {
                let batch = self.runners.get(c.key).map_or(0.0, |r| r.batch(now));
                (batch as u64, c.sampling_rank)
            }),
            RoutingPolicy::HashAffinity => open.into_iter().min_by_key(|c| {
                let rank = preferred.iter().position(|k| *k == c.key);
                (rank.unwrap_or(usize::MAX), c.sampling_rank)
            }),
        };
        let chosen = chosen.ok_or(NotPlaced::Busy)?;
        let estimate = self.estimate_runner(now, query, preferred, chosen.key);
        Ok((chosen.key, estimate))
    }

    /// Computes the inputs that the selection and the KV-cache plan share.
    pub(super) fn selection_context(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
    ) -> SelectionContext {
        SelectionContext {
            preferred: self.preferred_runners(query),
            mean_utilisation: self.mean_utilisation(now, query.service),
        }
    }

    /// Estimates the time to the first token at a runner, by its position among the session's
    /// preferred runners.
    fn estimate_runner(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        preferred: &[RunnerKey],
        key: RunnerKey,
    ) -> FirstTokenEstimate {
        let rank = preferred.iter().position(|k| *k == key);
        let runner = self.runners.get(key);
        runner.map_or_else(FirstTokenEstimate::default, |r| {
            self.estimate_first_token(now, r, query, rank)
        })
    }

    /// Returns the mean memory utilisation of the service's open runners, from 0 to 1.
    fn mean_utilisation(&self, now: Duration, service: &ServiceName) -> f64 {
        let runners = self.runners.of_service(service);
        let open: Vec<f64> = runners
            .filter(|(_, r)| r.is_open(now) && !r.suspected)
            .map(|(_, r)| r.memory_utilisation(now, 0.0))
            .collect();
        open.iter().sum::<f64>() / open.len().max(1) as f64
    }

    /// Keeps only the candidate runners that have room for the prompt.
    fn retain_candidates_with_room(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        prompt: &Prompt,
        context: &SelectionContext,
        open: &mut Vec<OpenRunner>,
    ) {
        open.sort_unstable();
        let size = candidate_set_size(open.len(), self.entries.get());
        let (mut position, mut warm) = (0, 0);
        open.retain(|c| {
            position += 1;
            let Some(runner) = self.runners.get(c.key) else {
                return false;
            };
            let mut is_candidate = position <= size
                || context.preferred.contains(&c.key)
                || runner.limit.has_permit(now, query.urgency);
            if !is_candidate && warm < MAX_WARM_CANDIDATES {
                is_candidate = runner.connections.is_warm(now, query.repeatable);
                warm += usize::from(is_candidate);
            }
            is_candidate && has_room(now, runner, prompt, query.room, context.mean_utilisation)
        });
    }

    /// Returns the two preferred runners of the request's session, most preferred first. Runners in
    /// the data centre of a store that holds the session's part precede the others; within each
    /// group, rendezvous hashing decides.
    fn preferred_runners(&self, query: &PlacementQuery<'_>) -> Vec<RunnerKey> {
        let Some(part) = query.prompt.and_then(Prompt::session_part) else {
            return Vec::new();
        };
        let runners = self.runners.of_service(query.service);
        let mut ranked: Vec<((bool, u64), RunnerKey)> = runners
            .filter(|(_, r)| !r.record.leaving && !r.evacuated)
            .map(|(key, r)| {
                let score = rendezvous_score(&part.id, &r.record.identity);
                (
                    (self.is_session_stored_near(query, r, &part.id), score),
                    key,
                )
            })
            .collect();
        ranked.sort_unstable_by_key(|r| Reverse(*r));
        ranked.into_iter().take(2).map(|(_, key)| key).collect()
    }

    /// Returns whether the session's part is stored in the runner's data centre.
    fn is_session_stored_near(
        &self,
        query: &PlacementQuery<'_>,
        runner: &RunnerState,
        part: &CompactString,
    ) -> bool {
        let Some(prompt) = query.prompt else {
            return false;
        };
        let weights = runner.version_of(&prompt.model);
        let salt = cache_salt(weights.unwrap_or(0), query.cache_group);
        let part = part.clone();
        let data_centre = self.stored_parts.data_centre_of(&PartKey { salt, part });
        data_centre == Some(&runner.record.data_centre)
    }
}

/// Returns whether a runner has room for a prompt: enough memory to avoid preemption, and, for a
/// long prompt, a short prefill backlog. An idle runner takes any prompt.
fn has_room(
    now: Duration,
    runner: &RunnerState,
    prompt: &Prompt,
    rule: RoomRule,
    mean_utilisation: f64,
) -> bool {
    let limit = match rule {
        RoomRule::Due => MAX_UTILISATION,
        RoomRule::Usual | RoomRule::Yielding => memory_limit(prompt, mean_utilisation),
    };
    let full = runner.memory_utilisation(now, prompt.peak_tokens() as f64) > limit;
    let backlog = runner.backlog(now);
    let fills_queue = rule == RoomRule::Yielding
        && backlog > 0.0
        && backlog + runner.unread_tokens(prompt, now) > MAX_FILLED_BACKLOG_TOKENS;
    let prefill_busy =
        prompt.tokens > SHORT_PROMPT_TOKENS && (backlog > MAX_BACKLOG_TOKENS || fills_queue);
    !(full || prefill_busy) || runner.batch(now) <= 0.0
}
