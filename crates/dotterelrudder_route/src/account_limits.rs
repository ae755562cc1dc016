//! Limits of client accounts, a share at each entry; see docs/design/account-limits.md.

use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_config::AccountDeclaration;
use dotterelrudder_types::ClientAccount;

/// How much of a second's requests can come at once.
const BURST_SECONDS: f64 = 0.5;
/// How often demand is told.
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// How long a share counts after it was last told.
const SHARE_FOR: Duration = Duration::from_millis(2_500);

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Duration,
    /// Requests since the last report, refused ones included.
    arrived: u32,
    /// Whether the last report told of any, so that the end of a demand is told too.
    told: bool,
    share: Option<(f64, Duration)>,
}

/// One token bucket for each client account, filled at this entry's share of the declared rate.
#[derive(Debug)]
pub struct AccountLimits {
    buckets: HashMap<ClientAccount, Bucket>,
    entries: u32,
    reported_at: Duration,
}

impl Default for AccountLimits {
    fn default() -> Self {
        Self {
            buckets: HashMap::new(),
            entries: 1,
            reported_at: Duration::ZERO,
        }
    }
}

impl AccountLimits {
    /// Sets how many entries share each account's rate while control tells no shares.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Sets the share of an account's rate that this entry may use.
    pub fn set_share(&mut self, account: &ClientAccount, share: f64, now: Duration) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.share = Some((share, now));
        }
    }

    /// Takes one request from an account's share.
    ///
    /// # Errors
    ///
    /// Returns after which time the next request fits, when this one doesn't.
    pub fn take(&mut self, account: &AccountDeclaration, now: Duration) -> Result<(), Duration> {
        let equal = 1.0 / f64::from(self.entries);
        let declared = f64::from(account.requests_per_second);
        let bucket = self
            .buckets
            .entry(account.name.clone())
            .or_insert_with(|| Bucket {
                tokens: (declared * equal * BURST_SECONDS).max(1.0),
                filled_at: now,
                arrived: 0,
                told: false,
                share: None,
            });
        bucket.arrived += 1;
        let told = bucket.share.filter(|(_, at)| now < *at + SHARE_FOR);
        let rate = declared * told.map_or(equal, |(share, _)| share);
        let most = (rate * BURST_SECONDS).max(1.0);
        let passed = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + passed * rate).min(most);
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            return Err(Duration::from_secs_f64(
                (1.0 - bucket.tokens) / rate.max(1e-3),
            ));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Returns what came of each account lately, when it is time to tell.
    pub fn demand(&mut self, now: Duration) -> Vec<(ClientAccount, f32)> {
        let passed = now.saturating_sub(self.reported_at);
        if passed < REPORT_EVERY {
            return Vec::new();
        }
        self.reported_at = now;
        let due = self
            .buckets
            .iter_mut()
            .filter(|(_, b)| b.arrived > 0 || b.told);
        let mut rows: Vec<_> = due
            .map(|(account, bucket)| {
                bucket.told = bucket.arrived > 0;
                let rate = std::mem::take(&mut bucket.arrived) as f32 / passed.as_secs_f32();
                (account.clone(), rate)
            })
            .collect();
        rows.sort_by(|a, b| a.0.cmp(&b.0));
        rows
    }
}
