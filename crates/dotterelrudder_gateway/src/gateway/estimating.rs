//! When a runner is expected to send the first token of a prompt.

use super::Gateway;
use crate::cache_salt;
use crate::sight::ENTRIES_A_RUNNER;
use crate::FirstTokenEstimate;
use crate::NamedWeights;
use crate::PlacementQuery;
use crate::Prompt;
use crate::RunnerState;
use dotterelrudder_config::deployment::AccountEntry;
use std::time::Duration;

/// Added to the expected time of a runner in another data centre, for what crossing costs.
const CROSSING: Duration = Duration::from_millis(4);
/// The same for a service without engines, whose runners are alike but for their distance.
const CROSSING_PLAIN: Duration = Duration::from_millis(15);
/// Added for a runner that still serves older weights than the named ones.
const OLD_WEIGHTS: Duration = Duration::from_millis(250);
/// Added for a runner to which a connection has to be opened: the round trip, and the moment for
/// which it takes a place of the runner.
const NEW_CONNECTION: Duration = Duration::from_millis(5);
/// Added in proportion to the share of failures of a runner.
const FAILING: Duration = Duration::from_secs(3);
/// Added for a runner whose side stopped reporting: it may be gone with its side.
const UNREPORTED: Duration = Duration::from_millis(200);
/// Added for a runner whose first answer after an ejection is awaited.
const ON_TRIAL: Duration = Duration::from_millis(300);
/// Milliseconds that a request of a plain service takes, about.
const PLAIN_WORK_MS: f64 = 20.0;
/// The share of a prompt's reading that the home of its session saves on average.
const HOME_SAVES: f64 = 0.6;
/// The same for the second runner in the session's order.
const SECOND_SAVES: f64 = 0.2;
/// How often the home of a session still holds what it read; memories turn over in seconds.
const HOME_HOLDS: f64 = 0.35;
/// How much a fetch counts against its own time on the link, for those that wait behind it.
const LINK_SHARED: f64 = 2.0;

impl Gateway {
    pub(super) fn expected(
        &self,
        now: Duration,
        runner: &RunnerState,
        query: &PlacementQuery<'_>,
        home: Option<usize>,
    ) -> FirstTokenEstimate {
        let prompt = query.prompt;
        let near = runner.row.data_centre == self.settings.data_centre;
        let mut estimate = match prompt {
            Some(prompt) => self.expected_first_token(now, runner, prompt, query.account, home),
            None => {
                let slots = f64::from(runner.row.slots.max(1));
                let batch = runner.batch(now);
                let work_ms = PLAIN_WORK_MS * (1.0 + batch / slots);
                FirstTokenEstimate {
                    expected: Duration::from_secs_f64(work_ms / 1_000.0),
                    batch,
                    ..FirstTokenEstimate::default()
                }
            }
        };
        let expected = &mut estimate.expected;
        if !near {
            *expected += if prompt.is_some() {
                CROSSING
            } else {
                CROSSING_PLAIN
            };
        }
        if let Some(prompt) = prompt {
            let held = runner.version_of(&prompt.model);
            let named = self.weights.get(&prompt.model).map(NamedWeights::newest);
            if named.is_some() && held < named {
                *expected += OLD_WEIGHTS;
            }
        }
        if !runner.connections.is_warm(now, query.repeatable) {
            *expected += NEW_CONNECTION;
        }
        if runner.is_unreported(now) {
            *expected += UNREPORTED;
        }
        if runner.health.is_on_trial(now) {
            *expected += ON_TRIAL;
        }
        *expected += FAILING.mul_f64(runner.health.failing(now));
        estimate
    }

    /// Returns how much more than this entry all entries have sent to a runner since its report,
    /// which can't be seen yet: few choose among the same runners at a time.
    fn others(&self) -> f64 {
        1.0 + (f64::from(self.entries).min(ENTRIES_A_RUNNER) - 1.0) / 2.0
    }

    fn fetch_ms(
        &self,
        now: Duration,
        runner: &RunnerState,
        prompt: &Prompt,
        account: Option<&AccountEntry>,
    ) -> Option<f64> {
        let salt = cache_salt(runner.version_of(&prompt.model), account);
        let service = &runner.row.service;
        let services = self.configuration.services.iter();
        let mut engines = services.filter(|s| s.name == *service);
        let bytes = engines.find_map(|s| s.engine.as_ref())?.token_bytes;
        self.stored
            .fetch_ms(now, prompt, &salt, &runner.row.data_centre, bytes)
    }

    fn expected_first_token(
        &self,
        now: Duration,
        runner: &RunnerState,
        prompt: &Prompt,
        account: Option<&AccountEntry>,
        home: Option<usize>,
    ) -> FirstTokenEstimate {
        let mut unread = runner.unread_tokens(prompt, now);
        let held = prompt
            .session_part()
            .is_some_and(|part| runner.holds_session(&part.id, now));
        let fetch_ms = self.fetch_ms(now, runner, prompt, account);
        if let Some(ms) = fetch_ms.filter(|_| !held) {
            // A link is shared, so that its use delays others as well.
            let missing = if home == Some(0) {
                1.0 - HOME_HOLDS
            } else {
                1.0
            };
            let as_read = ms * LINK_SHARED * missing * self.estimate.read_rate;
            unread -= f64::from(prompt.shared_tokens()) - as_read;
        } else if !held {
            let saves = match home {
                Some(0) => HOME_SAVES,
                Some(_) => SECOND_SAVES,
                None => 0.0,
            };
            unread -= f64::from(prompt.shared_tokens()) * saves;
        }
        let backlog = runner.backlog(now).max(runner.unread() * self.others());
        let memory = runner.memory(now, prompt.peak_tokens() as f64);
        let batch = runner.batch(now);
        FirstTokenEstimate {
            expected: self.estimate.first_token(backlog, unread, batch, memory),
            backlog,
            unread,
            fetch: fetch_ms.map(|ms| Duration::from_secs_f64(ms / 1_000.0)),
            batch,
            memory,
        }
    }
}
