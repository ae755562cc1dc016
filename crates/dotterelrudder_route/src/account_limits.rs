//! Rate limits of client accounts. Control divides each limit among the entries by their demand;
//! see docs/design/account-limits.md.

use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_config::AccountDeclaration;
use dotterelrudder_types::ClientAccount;

/// The capacity of a bucket, in seconds of requests at its rate.
const BURST_SECONDS: f64 = 0.5;
/// How often demand is reported to control.
const DEMAND_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a share granted by control stays valid.
const SHARE_VALIDITY: Duration = Duration::from_millis(2_500);

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
    /// Requests since the last demand report, including refused ones.
    arrivals: u32,
    /// Whether the last report had any requests, in which case a rate of zero is reported once.
    reported_nonzero: bool,
    /// The share of the declared rate granted by control, from 0 to 1, and when it was granted.
    share: Option<(f64, Duration)>,
}

/// One token bucket for each client account, refilled at this entry's share of the declared rate.
#[derive(Debug)]
pub struct AccountLimits {
    buckets: HashMap<ClientAccount, TokenBucket>,
    entry_count: u32,
    last_report_at: Duration,
}

impl Default for AccountLimits {
    fn default() -> Self {
        Self {
            buckets: HashMap::new(),
            entry_count: 1,
            last_report_at: Duration::ZERO,
        }
    }
}

impl AccountLimits {
    /// Sets the number of entries among which each account's rate is divided equally while control
    /// grants no shares.
    pub fn set_entry_count(&mut self, entry_count: u32) {
        self.entry_count = entry_count.max(1);
    }

    /// Sets the share of an account's rate, from 0 to 1, that this entry may use.
    pub fn set_share(&mut self, account: &ClientAccount, share: f64, now: Duration) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.share = Some((share, now));
        }
    }

    /// Takes a token for one request from an account's bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token is available if the bucket is empty.
    pub fn try_acquire(
        &mut self,
        account: &AccountDeclaration,
        now: Duration,
    ) -> Result<(), Duration> {
        let equal_share = 1.0 / f64::from(self.entry_count);
        let declared = f64::from(account.requests_per_second);
        let bucket = self
            .buckets
            .entry(account.name.clone())
            .or_insert_with(|| TokenBucket {
                tokens: (declared * equal_share * BURST_SECONDS).max(1.0),
                refilled_at: now,
                arrivals: 0,
                reported_nonzero: false,
                share: None,
            });
        bucket.arrivals += 1;
        let granted_share = bucket.share.filter(|(_, at)| now < *at + SHARE_VALIDITY);
        let rate = declared * granted_share.map_or(equal_share, |(share, _)| share);
        let capacity = (rate * BURST_SECONDS).max(1.0);
        let elapsed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(capacity);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return Err(Duration::from_secs_f64(
                (1.0 - bucket.tokens) / rate.max(1e-3),
            ));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Returns the request rate of each account since the last report, in requests per second, if
    /// `DEMAND_REPORT_INTERVAL` has passed; otherwise an empty list.
    pub fn demand_report(&mut self, now: Duration) -> Vec<(ClientAccount, f32)> {
        let elapsed = now.saturating_sub(self.last_report_at);
        if elapsed < DEMAND_REPORT_INTERVAL {
            return Vec::new();
        }
        self.last_report_at = now;
        let due = self
            .buckets
            .iter_mut()
            .filter(|(_, b)| b.arrivals > 0 || b.reported_nonzero);
        let mut rows: Vec<_> = due
            .map(|(account, bucket)| {
                bucket.reported_nonzero = bucket.arrivals > 0;
                let rate = std::mem::take(&mut bucket.arrivals) as f32 / elapsed.as_secs_f32();
                (account.clone(), rate)
            })
            .collect();
        rows.sort_by(|a, b| a.0.cmp(&b.0));
        rows
    }
}
