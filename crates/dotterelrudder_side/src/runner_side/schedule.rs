//! Which attempt runs next: paying work first, and in place of trial work.

use std::collections::VecDeque;
use std::time::Duration;

use dotterelrudder_config::ServiceKind;
use dotterelrudder_types::Tier;
use dotterelrudder_wire::Work;

use super::RunnerSide;
use crate::attempt::AnyAttempt;
use crate::attempt::Attempt;
use crate::attempt::Queued;
use crate::attempt::Running;
use crate::side_core::SideContext;
use crate::Output;

impl RunnerSide {
    fn slots_used(&self) -> u32 {
        self.attempts
            .active()
            .filter(|(_, a)| a.holds_slot())
            .count() as u32
    }

    /// Starts what may run now: paying work first, and in place of running trial work.
    pub(crate) fn schedule(&mut self, context: &SideContext, now: Duration, out: &mut Vec<Output>) {
        if self.order_fencing.is_loading() || !self.has_weights(context) {
            return;
        }
        let mut used = self.slots_used();
        while used < self.backend_status.slots {
            let Some(key) = self.queues.iter_mut().find_map(VecDeque::pop_front) else {
                return;
            };
            used += 1;
            self.start_attempt(key, context, now, out);
        }
        while !self.queues[0].is_empty() && self.preempt_trial(out) {
            if let Some(key) = self.queues[0].pop_front() {
                self.start_attempt(key, context, now, out);
            }
        }
    }

    pub(super) fn has_weights(&self, context: &SideContext) -> bool {
        context.settings.kind != ServiceKind::Model
            || !self.backend_status.version.as_str().is_empty()
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
            AnyAttempt::Running(a) => AnyAttempt::Queued(a.into_state(Queued)),
            other => other,
        });
        self.queues[1].push_front(key);
        true
    }
}

fn is_preemptible(attempt: &Attempt<Running>) -> bool {
    let completion = matches!(attempt.start.work, Work::Completion { .. });
    attempt.start.tier == Tier::Trial && completion && !attempt.claimed
}
