//! What a side reports of its load.

use std::time::Duration;

use dotterelrudder_types::Role;
use dotterelrudder_types::Tier;
use dotterelrudder_wire::LoadReport;
use dotterelrudder_wire::Message;

use super::Runner;
use crate::side_core::Common;
use crate::Output;

/// How often the load is reported while nothing changes.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// How soon a changed load is reported.
const REPORT_CHANGE_AFTER: Duration = Duration::from_millis(50);

impl Runner {
    pub(super) fn load_report(&self, common: &Common) -> LoadReport {
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
            service: common.settings.service.clone(),
            version: self.load.version.clone(),
            open: !common.leaving && !self.orders.is_loading() && self.is_loaded(common),
            slots: self.load.slots,
            running: tiers.len() as u32,
            running_trial: trial.count() as u32,
            waiting_paying: self.waiting[0].len() as u32,
            waiting_trial: self.waiting[1].len() as u32,
            prefill_rate: self.load.prefill_rate,
            import_rate: self.import_rate,
            block_bytes: self.load.block_bytes,
            hold_seconds: self.hold_seconds,
        }
    }

    pub(super) fn report_load(&mut self, common: &Common, now: Duration, out: &mut Vec<Output>) {
        let load = self.load_report(common);
        let changed = self.reported.as_ref() != Some(&load);
        if now < self.report_at
            && !(changed && now + REPORT_EVERY >= self.report_at + REPORT_CHANGE_AFTER)
        {
            return;
        }
        let version_changed = self
            .reported
            .as_ref()
            .is_none_or(|r| r.version != load.version);
        let message = Message::Load(load.clone());
        common.broadcast(Role::Entry, &message, out);
        if now >= self.report_at || version_changed {
            common.broadcast(Role::Control, &message, out);
        }
        self.report_at = now + REPORT_EVERY;
        self.reported = Some(load);
    }
}
