//! Scheduling: assigns free slots to queued attempts, paying ones first, and preempts running trial
//! completions for queued paying attempts.

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
    /// Returns how many slots of the backend server are occupied.
    fn slots_used(&self) -> u32 {
        self.attempts
            .active()
            .filter(|(_, a)| a.holds_slot())
            .count() as u32
    }

    /// Starts queued attempts while slots are free, then preempts trial completions for the paying
    /// attempts that are left. Nothing starts while the engine loads weights or has none.
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

    /// Returns whether the backend server can run attempts: a model engine needs loaded weights.
    pub(super) fn has_weights(&self, context: &SideContext) -> bool {
        context.settings.kind != ServiceKind::Model
            || !self.backend_status.version.as_str().is_empty()
    }

    /// Cancels the run of the trial completion that started last and puts it at the head of the
    /// trial queue; it resumes later from the text generated so far. Returns false if there is
    /// none.
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

/// Returns whether an attempt can be interrupted and resumed. A claimed attempt may run only once,
/// and a plain service's answer cannot be resumed.
fn is_preemptible(attempt: &Attempt<Running>) -> bool {
    let completion = matches!(attempt.start.work, Work::Completion { .. });
    attempt.start.tier == Tier::Trial && completion && !attempt.claimed
}
