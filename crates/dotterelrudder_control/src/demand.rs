//! The shares of client accounts' rates that entries may use, by what came to each.
//!
//! Soft state of one control instance, rebuilt within a second after its loss; see
//! docs/design/account-limits.md.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::InstanceName;

/// How long an entry's last word counts.
const FORGET_AFTER: Duration = Duration::from_millis(2_500);
/// The part of a rate that is kept for entries to which nothing came lately.
const RESERVED: f32 = 0.02;

#[derive(Debug, Default)]
pub(crate) struct Demand {
    accounts: BTreeMap<ClientAccount, BTreeMap<InstanceName, (f32, Duration)>>,
}

impl Demand {
    /// Takes an entry's word and returns its share of each account that it named.
    pub(crate) fn report(
        &mut self,
        entry: &InstanceName,
        rows: &[(ClientAccount, f32)],
        now: Duration,
    ) -> Vec<(ClientAccount, f32)> {
        rows.iter()
            .map(|(account, rate)| {
                let entries = self.accounts.entry(account.clone()).or_default();
                entries.retain(|_, (_, at)| now < *at + FORGET_AFTER);
                entries.insert(entry.clone(), (*rate, now));
                let total: f32 = entries.values().map(|(rate, _)| rate).sum();
                let share = if total > 0.0 { rate / total } else { 0.0 };
                (account.clone(), share * (1.0 - RESERVED))
            })
            .collect()
    }
}
