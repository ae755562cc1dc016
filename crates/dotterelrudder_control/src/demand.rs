//! The shares of client accounts' rates that entries may use, by what came to each.
//!
//! Soft state of one control instance, rebuilt within a second after its loss; see
//! docs/design/account-limits.md.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::InstanceName;

/// How long an entry's last word counts.
const REPORT_TTL: Duration = Duration::from_millis(2_500);
/// The part of a rate that is divided equally even while all of it is asked for, so that an entry
/// to which nothing came lately can begin.
const RESERVED_SHARE: f32 = 0.02;

#[derive(Debug, Default)]
pub(crate) struct Demand {
    accounts: BTreeMap<ClientAccount, BTreeMap<InstanceName, (f32, Duration)>>,
}

impl Demand {
    /// Takes an entry's word and returns its share of each account that it named. `declared_rate` tells
    /// the whole rate of an account.
    pub(crate) fn report<F>(
        &mut self,
        entry: &InstanceName,
        rows: &[(ClientAccount, f32)],
        now: Duration,
        declared_rate: F,
    ) -> Vec<(ClientAccount, f32)>
    where
        F: Fn(&ClientAccount) -> f32,
    {
        rows.iter()
            .filter(|(account, _)| declared_rate(account) > 0.0)
            .map(|(account, rate)| {
                let entries = self.accounts.entry(account.clone()).or_default();
                entries.retain(|_, (_, at)| now < *at + REPORT_TTL);
                entries.insert(entry.clone(), (*rate, now));
                let requested: f32 = entries.values().map(|(rate, _)| rate).sum();
                let equal_part = 1.0 / entries.len() as f32;
                (
                    account.clone(),
                    share_of(*rate, requested, equal_part, declared_rate(account)),
                )
            })
            .collect()
    }
}

/// Gives an entry what it asks for and an equal part of what nobody asks for.
fn share_of(rate: f32, requested: f32, equal_part: f32, declared_rate: f32) -> f32 {
    let unrequested = (declared_rate - requested).max(declared_rate * RESERVED_SHARE);
    let granted =
        rate * ((declared_rate - unrequested) / requested.max(f32::MIN_POSITIVE)).min(1.0);
    (granted + unrequested * equal_part) / declared_rate.max(1.0)
}
