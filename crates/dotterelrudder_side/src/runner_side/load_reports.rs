//! Load reports: their content, and when they are sent to entries and control.

use std::time::Duration;

use dotterelrudder_types::Role;
use dotterelrudder_types::Tier;
use dotterelrudder_wire::LoadReport;
use dotterelrudder_wire::Message;

use super::RunnerSide;
use crate::side_core::SideContext;
use crate::Output;

/// Interval of reports while the load does not change.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest interval between two reports while the load changes.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);

impl RunnerSide {
    /// Returns the current load. Slots count as running from the start of a claim or import on;
    /// prefill tokens are those of all attempts without an answer chunk, queued ones included.
    pub(super) fn load_report(&self, context: &SideContext) -> LoadReport {
        let running = self.attempts.active().filter(|(_, a)| a.holds_slot());
        let tiers: Vec<Tier> = running.map(|(_, a)| a.start().tier).collect();
        let trial = tiers.iter().filter(|tier| **tier == Tier::Trial);
        let prefill = |tier: Tier| {
            let before_first = self
                .attempts
                .active()
                .filter(|(_, a)| a.awaits_first_token());
            let starts = before_first.map(|(_, a)| a.start());
            starts
                .filter(|s| s.tier == tier)
                .map(|s| s.prefill_tokens)
                .sum()
        };
        LoadReport {
            prefill_paying: prefill(Tier::Paying),
            prefill_trial: prefill(Tier::Trial),
            service: context.settings.service.clone(),
            version: self.backend_status.version.clone(),
            open: !context.draining
                && !self.order_fencing.is_loading()
                && self.has_weights(context),
            slots: self.backend_status.slots,
            running: tiers.len() as u32,
            running_trial: trial.count() as u32,
            waiting_paying: self.queues[0].len() as u32,
            waiting_trial: self.queues[1].len() as u32,
            prefill_rate: self.backend_status.prefill_rate,
            import_rate: self.import_rate,
            block_bytes: self.backend_status.block_bytes,
            hold_seconds: self.hold_seconds,
        }
    }

    /// Sends a load report to entries if it changed or the last report is an interval old. Control
    /// receives a report only in the second case or if the weight version changed.
    pub(super) fn report_load(
        &mut self,
        context: &SideContext,
        now: Duration,
        out: &mut Vec<Output>,
    ) {
        let load = self.load_report(context);
        let changed = self.last_report.as_ref() != Some(&load);
        if now < self.next_report_at
            && !(changed && now + REPORT_INTERVAL >= self.next_report_at + MIN_REPORT_INTERVAL)
        {
            return;
        }
        let version_changed = self
            .last_report
            .as_ref()
            .is_none_or(|r| r.version != load.version);
        let message = Message::Load(load.clone());
        context.broadcast(Role::Entry, &message, out);
        if now >= self.next_report_at || version_changed {
            context.broadcast(Role::Control, &message, out);
        }
        self.next_report_at = now + REPORT_INTERVAL;
        self.last_report = Some(load);
    }
}
