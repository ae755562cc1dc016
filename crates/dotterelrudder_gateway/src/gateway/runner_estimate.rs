//! Estimate of the time that a runner takes to the first token of a request.

use super::Gateway;
use crate::placement::estimated_time;
use crate::placement::ENTRIES_PER_RUNNER;
use crate::FirstTokenEstimate;
use crate::NamedWeights;
use crate::PlacementQuery;
use crate::Prompt;
use crate::RunnerState;
use dotterelrudder_wire::cache_salt;
use dotterelrudder_wire::CacheGroup;
use std::time::Duration;

/// Added to the estimate of a runner in another data centre, for the transfer between data centres.
const CROSS_DATA_CENTRE_PENALTY: Duration = Duration::from_millis(4);
/// Added instead for a service without inference engines, where distance is the main difference
/// between runners.
const CROSS_DATA_CENTRE_PENALTY_PLAIN: Duration = Duration::from_millis(15);
/// Added for a runner whose weights are older than the newest named version.
const OLD_WEIGHTS_PENALTY: Duration = Duration::from_millis(250);
/// Added for a runner to which a connection has to be opened: the round trip, and the time for
/// which opening it occupies a slot of the runner.
const NEW_CONNECTION_PENALTY: Duration = Duration::from_millis(5);
/// Multiplied by the runner's failure rate, and added.
const FAILURE_RATE_PENALTY: Duration = Duration::from_secs(3);
/// Added for a runner whose load reports have stopped: its machine may be down together with its
/// side.
const STALE_REPORT_PENALTY: Duration = Duration::from_millis(200);
/// Added for a runner that was ejected recently and has not answered a request since.
const PROBATION_PENALTY: Duration = Duration::from_millis(300);
/// The approximate time of a request at an idle runner without an inference engine, in
/// milliseconds.
const PLAIN_REQUEST_MS: f64 = 20.0;
/// The mean share of the shared prompt tokens, from 0 to 1, that need no prefill at the first
/// preferred runner of the session.
const PREFERRED_SAVED_SHARE: f64 = 0.6;
/// The same share at the second preferred runner.
const SECOND_PREFERRED_SAVED_SHARE: f64 = 0.2;
/// The probability that the first preferred runner still holds the session's KV cache, from 0 to 1;
/// entries are evicted within seconds.
const PREFERRED_HIT_RATE: f64 = 0.35;
/// The cost of a fetch as a multiple of its own transfer time; it delays other transfers that wait
/// for the same link.
const LINK_CONTENTION_FACTOR: f64 = 2.0;

impl Gateway {
    /// Estimates the time to the first token of a request at a runner. `affinity_rank` is the
    /// runner's position among the session's preferred runners.
    pub(super) fn estimate_first_token(
        &self,
        now: Duration,
        runner: &RunnerState,
        query: &PlacementQuery<'_>,
        affinity_rank: Option<usize>,
    ) -> FirstTokenEstimate {
        let prompt = query.prompt;
        let is_local = runner.record.data_centre == self.settings.data_centre;
        let mut estimate = match prompt {
            Some(prompt) => self.estimate_engine_first_token(
                now,
                runner,
                prompt,
                query.cache_group,
                affinity_rank,
            ),
            None => {
                let slots = f64::from(runner.record.slots.max(1));
                let batch = runner.batch(now);
                let work_ms = PLAIN_REQUEST_MS * (1.0 + batch / slots);
                FirstTokenEstimate {
                    expected: estimated_time(work_ms),
                    batch,
                    ..FirstTokenEstimate::default()
                }
            }
        };
        let expected = &mut estimate.expected;
        if !is_local {
            *expected += if prompt.is_some() {
                CROSS_DATA_CENTRE_PENALTY
            } else {
                CROSS_DATA_CENTRE_PENALTY_PLAIN
            };
        }
        if let Some(prompt) = prompt {
            let held = runner.version_of(&prompt.model);
            let named = self.weights.get(&prompt.model).map(NamedWeights::newest);
            if named.is_some() && held < named {
                *expected += OLD_WEIGHTS_PENALTY;
            }
        }
        if !runner.connections.is_warm(now, query.repeatable) {
            *expected += NEW_CONNECTION_PENALTY;
        }
        if runner.is_report_stale(now) {
            *expected += STALE_REPORT_PENALTY;
        }
        if runner.health.is_on_probation(now) {
            *expected += PROBATION_PENALTY;
        }
        *expected += FAILURE_RATE_PENALTY.mul_f64(runner.health.failure_rate(now));
        estimate
    }

    /// Returns the estimated ratio of the load that all entries sent to a runner since its last
    /// report to the load that this entry sent. Only about [`ENTRIES_PER_RUNNER`] entries use a
    /// runner at a time.
    fn unreported_load_factor(&self) -> f64 {
        1.0 + (f64::from(self.entries.get()).min(ENTRIES_PER_RUNNER) - 1.0) / 2.0
    }

    /// Returns the time to fetch the shared parts of a prompt from stores, in milliseconds; `None`
    /// if they are not all stored.
    fn fetch_ms(
        &self,
        now: Duration,
        runner: &RunnerState,
        prompt: &Prompt,
        cache_group: &CacheGroup,
    ) -> Option<f64> {
        let weights = runner.version_of(&prompt.model);
        let salt = cache_salt(weights.unwrap_or(0), cache_group);
        let service = &runner.record.service;
        let services = self.configuration.services.iter();
        let mut engines = services.filter(|s| s.name == *service);
        let bytes = engines.find_map(|s| s.engine.as_ref())?.token_bytes;
        self.stored_parts
            .fetch_ms(now, prompt, &salt, &runner.record.data_centre, bytes)
    }

    /// Estimates the time to the first token at a runner with an inference engine, without the
    /// penalties.
    fn estimate_engine_first_token(
        &self,
        now: Duration,
        runner: &RunnerState,
        prompt: &Prompt,
        cache_group: &CacheGroup,
        affinity_rank: Option<usize>,
    ) -> FirstTokenEstimate {
        let mut unread = runner.unread_tokens(prompt, now);
        let held = prompt
            .session_part()
            .is_some_and(|part| runner.holds_session(&part.id, now));
        let fetch_ms = self.fetch_ms(now, runner, prompt, cache_group);
        if let Some(ms) = fetch_ms.filter(|_| !held) {
            // Links are shared, so a fetch delays the transfers of other requests as well.
            let miss_rate = if affinity_rank == Some(0) {
                1.0 - PREFERRED_HIT_RATE
            } else {
                1.0
            };
            let fetch_tokens = ms
                * LINK_CONTENTION_FACTOR
                * miss_rate
                * self.engine_estimate.prefill_tokens_per_ms;
            unread -= f64::from(prompt.shared_tokens()) - fetch_tokens;
        } else if !held {
            let saved_share = match affinity_rank {
                Some(0) => PREFERRED_SAVED_SHARE,
                Some(_) => SECOND_PREFERRED_SAVED_SHARE,
                None => 0.0,
            };
            unread -= f64::from(prompt.shared_tokens()) * saved_share;
        }
        let backlog = runner
            .backlog(now)
            .max(runner.unread() * self.unreported_load_factor());
        let memory = runner.memory_utilisation(now, prompt.peak_tokens() as f64);
        let batch = runner.batch(now);
        FirstTokenEstimate {
            expected: self
                .engine_estimate
                .first_token(backlog, unread, batch, memory),
            backlog,
            unread,
            fetch: fetch_ms.map(estimated_time),
            batch,
            memory,
        }
    }
}
