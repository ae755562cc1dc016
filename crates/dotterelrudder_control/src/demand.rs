//! Division of each client account's request rate among entries, by the demand that each reports.
//!
//! The state is soft: a control instance that lost it rebuilds it from the entries' reports within
//! a second. See docs/design/account-limits.md.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::InstanceName;

/// How long an entry's last report of demand counts.
const REPORT_TTL: Duration = Duration::from_millis(2_500);
/// Share of an account's rate, from 0 to 1, that is divided equally among entries even when demand
/// takes all of it, so that an entry without recent requests can admit its first ones.
const RESERVED_SHARE: f32 = 0.02;

#[derive(Debug, Default)]
pub(crate) struct Demand {
    accounts: BTreeMap<ClientAccount, BTreeMap<InstanceName, (f32, Duration)>>,
}

impl Demand {
    /// Records the demand that an entry reports, in requests per second by account, and returns the
    /// entry's share of each account's rate, from 0 to 1. `declared_rate` returns an account's
    /// declared rate in requests per second; accounts without one are left out.
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
                let equal_share = 1.0 / entries.len() as f32;
                (
                    account.clone(),
                    share_of(*rate, requested, equal_share, declared_rate(account)),
                )
            })
            .collect()
    }
}

/// Returns an entry's share of a declared rate: its demand, scaled down when the demands of all
/// entries exceed the rate, plus an equal share of the rate that no entry requests.
fn share_of(rate: f32, requested: f32, equal_share: f32, declared_rate: f32) -> f32 {
    let unrequested = (declared_rate - requested).max(declared_rate * RESERVED_SHARE);
    let granted =
        rate * ((declared_rate - unrequested) / requested.max(f32::MIN_POSITIVE)).min(1.0);
    (granted + unrequested * equal_share) / declared_rate.max(1.0)
}
