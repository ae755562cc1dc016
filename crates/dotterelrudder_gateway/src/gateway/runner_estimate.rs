//! When a runner is expected to send the first token of a prompt.

use super::Gateway;
use crate::cache_salt;
use crate::candidate_set::ENTRIES_PER_RUNNER;
use crate::FirstTokenEstimate;
use crate::NamedWeights;
use crate::PlacementQuery;
use crate::Prompt;
use crate::RunnerState;
use dotterelrudder_config::deployment::AccountEntry;
use std::time::Duration;

/// Added to the expected time of a runner in another data centre, for what crossing costs.
const CROSS_DATA_CENTRE_PENALTY: Duration = Duration::from_millis(4);
/// The same for a service without engines, whose runners are alike but for their distance.
const CROSS_DATA_CENTRE_PENALTY_PLAIN: Duration = Duration::from_millis(15);
/// Added for a runner that still serves older weights than the named ones.
const OLD_WEIGHTS_PENALTY: Duration = Duration::from_millis(250);
/// Added for a runner to which a connection has to be opened: the round trip, and the moment for
/// which it takes a place of the runner.
const NEW_CONNECTION_PENALTY: Duration = Duration::from_millis(5);
/// Added in proportion to the share of failures of a runner.
const FAILURE_RATE_PENALTY: Duration = Duration::from_secs(3);
/// Added for a runner whose side stopped reporting: it may be gone with its side.
const STALE_REPORT_PENALTY: Duration = Duration::from_millis(200);
/// Added for a runner whose first answer after an ejection is awaited.
const PROBATION_PENALTY: Duration = Duration::from_millis(300);
/// Milliseconds that a request of a plain service takes, about.
const PLAIN_REQUEST_MS: f64 = 20.0;
/// The share of a prompt's reading that the home of its session saves on average.
const PREFERRED_SAVED_SHARE: f64 = 0.6;
/// The same for the second runner in the session's order.
const SECOND_PREFERRED_SAVED_SHARE: f64 = 0.2;
/// How often the home of a session still holds what it read; memories turn over in seconds.
const PREFERRED_HIT_RATE: f64 = 0.35;
/// How much a fetch counts against its own time on the link, for those that wait behind it.
const LINK_CONTENTION_FACTOR: f64 = 2.0;

impl Gateway {
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
            Some(prompt) => {
                self.estimate_engine_first_token(now, runner, prompt, query.account, affinity_rank)
            }
            None => {
                let slots = f64::from(runner.record.slots.max(1));
                let batch = runner.batch(now);
                let work_ms = PLAIN_REQUEST_MS * (1.0 + batch / slots);
                FirstTokenEstimate {
                    expected: Duration::from_secs_f64(work_ms / 1_000.0),
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

    /// Returns how much more than this entry all entries have sent to a runner since its report,
    /// which can't be seen yet: few choose among the same runners at a time.
    fn unreported_load_factor(&self) -> f64 {
        1.0 + (f64::from(self.entries).min(ENTRIES_PER_RUNNER) - 1.0) / 2.0
    }

    fn fetch_ms(
        &self,
        now: Duration,
        runner: &RunnerState,
        prompt: &Prompt,
        account: Option<&AccountEntry>,
    ) -> Option<f64> {
        let salt = cache_salt(runner.version_of(&prompt.model), account);
        let service = &runner.record.service;
        let services = self.configuration.services.iter();
        let mut engines = services.filter(|s| s.name == *service);
        let bytes = engines.find_map(|s| s.engine.as_ref())?.token_bytes;
        self.stored_parts
            .fetch_ms(now, prompt, &salt, &runner.record.data_centre, bytes)
    }

    fn estimate_engine_first_token(
        &self,
        now: Duration,
        runner: &RunnerState,
        prompt: &Prompt,
        account: Option<&AccountEntry>,
        affinity_rank: Option<usize>,
    ) -> FirstTokenEstimate {
        let mut unread = runner.unread_tokens(prompt, now);
        let held = prompt
            .session_part()
            .is_some_and(|part| runner.holds_session(&part.id, now));
        let fetch_ms = self.fetch_ms(now, runner, prompt, account);
        if let Some(ms) = fetch_ms.filter(|_| !held) {
            // A link is shared, so that its use delays others as well.
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
            fetch: fetch_ms.map(|ms| Duration::from_secs_f64(ms / 1_000.0)),
            batch,
            memory,
        }
    }
}
