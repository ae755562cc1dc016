//! The groups of accounts that share KV cache under a configuration.

use std::collections::BTreeSet;

use compact_str::CompactString;
use dotterelrudder_config::deployment::AccountEntry;
use dotterelrudder_wire::CacheGroup;

/// The length of the hash in a [`CacheGroup::AllBut`], in hexadecimal digits.
const HASH_DIGITS: usize = 16;

/// The group of the accounts that are not isolated, under one configuration.
#[derive(Debug, Default)]
pub(crate) struct CacheGroups {
    shared: CacheGroup,
}

impl CacheGroups {
    /// Determines the group of the accounts that are not isolated. It depends on nothing but the names
    /// of the isolated ones: what an account left in the cache before it was isolated is not found by
    /// the others afterwards, and is found again by all when the account shares again.
    pub(crate) fn new(accounts: &[AccountEntry]) -> Self {
        let isolated = accounts.iter().filter(|a| a.isolated);
        let names: BTreeSet<&str> = isolated.map(|a| a.name.as_str()).collect();
        if names.is_empty() {
            return Self::default();
        }
        let mut hasher = blake3::Hasher::new();
        for name in names {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        let digits = hasher.finalize().to_hex();
        let hash = CompactString::from(&digits[..HASH_DIGITS]);
        Self {
            shared: CacheGroup::AllBut(hash),
        }
    }

    /// Returns the group of a request, by its account if it has one.
    pub(crate) fn of(&self, account: Option<&AccountEntry>) -> CacheGroup {
        match account.filter(|a| a.isolated) {
            Some(account) => CacheGroup::Only(account.name.clone()),
            None => self.shared.clone(),
        }
    }
}
