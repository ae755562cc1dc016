//! Limits of client accounts, a share at each entry; see docs/design/account-limits.md.

use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_config::AccountDeclaration;
use dotterelrudder_types::ClientAccount;

/// How much of a second's requests can come at once.
const BURST_SECONDS: f64 = 1.0;

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Duration,
}

/// One token bucket for each client account, filled at this entry's share of the declared rate.
#[derive(Debug)]
pub struct AccountLimits {
    buckets: HashMap<ClientAccount, Bucket>,
    entries: u32,
}

impl Default for AccountLimits {
    fn default() -> Self {
        Self {
            buckets: HashMap::new(),
            entries: 1,
        }
    }
}

impl AccountLimits {
    /// Sets how many entries share each account's rate.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Takes one request from an account's share.
    ///
    /// # Errors
    ///
    /// Returns after which time the next request fits, when this one doesn't.
    pub fn take(&mut self, account: &AccountDeclaration, now: Duration) -> Result<(), Duration> {
        let rate = f64::from(account.requests_per_second) / f64::from(self.entries);
        let most = (rate * BURST_SECONDS).max(1.0);
        let full = Bucket {
            tokens: most,
            filled_at: now,
        };
        let bucket = self.buckets.entry(account.name.clone()).or_insert(full);
        let passed = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + passed * rate).min(most);
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - bucket.tokens) / rate));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }
}
