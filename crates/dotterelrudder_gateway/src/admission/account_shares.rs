//! Fair shares of client accounts during a shortage.
//!
//! Load pattern: one account sends a burst that exceeds the runners' capacity. Accounts are served by
//! deficit round robin: each account's work is counted in rounds of one quantum, and accounts in an
//! earlier round go first. An account that joins starts in the current round, so that what it did not
//! use before goes to the others.

use std::collections::HashMap;

/// The work of one round, in tokens x seconds: that of a long prompt (12,000 tokens for 2.7 s), so that
/// few requests take several rounds.
const QUANTUM: f64 = 33_000.0;

/// The work that each account was served during the current shortage.
#[derive(Debug, Default)]
pub struct AccountShares {
    /// The work by account.
    served: HashMap<String, f64>,
    /// The work of the account that was served least among those that waited last.
    floor: f64,
}

impl AccountShares {
    /// Records that an account has requests that wait. It starts where the others are.
    pub fn join(&mut self, account: &str) {
        let floor = self.floor;
        let served = self.served.entry(account.to_owned()).or_insert(floor);
        *served = served.max(floor);
    }

    /// Counts work that an account was served.
    pub fn serve(&mut self, account: &str, work: f64) {
        let floor = self.floor;
        let served = self.served.entry(account.to_owned()).or_insert(floor);
        *served = served.max(floor) + work;
    }

    /// Sets the accounts that have requests that wait; accounts that join later start at the least of
    /// their work.
    pub fn set_waiting<'a, I>(&mut self, accounts: I)
    where
        I: Iterator<Item = &'a str>,
    {
        let least = accounts.filter_map(|a| self.served.get(a)).copied();
        if let Some(least) = least.min_by(f64::total_cmp) {
            self.floor = self.floor.max(least);
        }
    }

    /// Returns the round of an account; the lowest goes first.
    pub fn round(&self, account: &str) -> u64 {
        let served = self.served.get(account).copied().unwrap_or(self.floor);
        (served.max(self.floor) / QUANTUM) as u64
    }
}
