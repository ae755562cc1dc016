//! Which attempt runs next: paying work first, and in place of trial work.

use std::collections::VecDeque;
use std::time::Duration;

use dotterelrudder_config::ServiceKind;
use dotterelrudder_types::Tier;
use dotterelrudder_wire::Work;

use super::Runner;
use crate::attempt::AnyAttempt;
use crate::attempt::Attempt;
use crate::attempt::Running;
use crate::attempt::Waiting;
use crate::side_core::Common;
use crate::Output;

impl Runner {
    fn slots_used(&self) -> u32 {
        self.attempts
            .active()
            .filter(|(_, a)| a.holds_slot())
            .count() as u32
    }

    /// Starts what may run now: paying work first, and in place of running trial work.
    pub(crate) fn schedule(&mut self, common: &Common, now: Duration, out: &mut Vec<Output>) {
        if self.orders.is_loading() || !self.is_loaded(common) {
            return;
        }
        let mut used = self.slots_used();
        while used < self.load.slots {
            let Some(key) = self.waiting.iter_mut().find_map(VecDeque::pop_front) else {
                return;
            };
            used += 1;
            self.begin(key, common, now, out);
        }
        while !self.waiting[0].is_empty() && self.preempt_trial(out) {
            if let Some(key) = self.waiting[0].pop_front() {
                self.begin(key, common, now, out);
            }
        }
    }

    pub(super) fn is_loaded(&self, common: &Common) -> bool {
        common.settings.kind != ServiceKind::Model || !self.load.version.as_str().is_empty()
    }

    /// Takes the slot of the trial completion that began last; it resumes later without loss.
    fn preempt_trial(&mut self, out: &mut Vec<Output>) -> bool {
        let trial = self.attempts.active().filter_map(|(key, any)| match any {
            AnyAttempt::Running(a) if is_preemptible(a) => Some((a.state.since, key, a.state.run)),
            _ => None,
        });
        let Some((_, key, run)) = trial.max() else {
            return false;
        };
        out.push(Output::CancelRun { run });
        self.attempts.advance(key, |any| match any {
            AnyAttempt::Running(a) => AnyAttempt::Waiting(a.into_state(Waiting)),
            other => other,
        });
        self.waiting[1].push_front(key);
        true
    }
}

fn is_preemptible(attempt: &Attempt<Running>) -> bool {
    let completion = matches!(attempt.start.work, Work::Completion { .. });
    attempt.start.tier == Tier::Trial && completion && !attempt.claimed
}
