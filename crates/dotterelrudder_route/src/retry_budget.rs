//! A budget for repeated calls of backend servers, so that retries can't multiply load.

use std::time::Duration;

/// The share of fresh requests that may be called again.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries a second that are granted however few requests there are.
const MIN_RETRIES_PER_SECOND: f64 = 1.0;
/// Retries that can be saved up.
const MAX_BALANCE: f64 = 20.0;

/// Grants one retry for each ten fresh requests, and a few at a start and while little goes on, so
/// that a lost runner doesn't break the few answers of a quiet entry.
///
/// ```
/// use dotterelrudder_route::RetryBudget;
/// use std::time::Duration;
/// let mut budget = RetryBudget::default();
/// let granted = (0..100).filter(|_| budget.withdraw(Duration::ZERO)).count();
/// assert_eq!(granted, 20);
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.withdraw(Duration::ZERO));
/// assert!(!budget.withdraw(Duration::ZERO));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    balance: f64,
    refilled_at: Duration,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
            refilled_at: Duration::ZERO,
        }
    }
}

impl RetryBudget {
    /// Notes a fresh request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.balance = (self.balance + elapsed * MIN_RETRIES_PER_SECOND).min(MAX_BALANCE);
        // Ten earnings of a tenth sum to a little less than one in binary.
        let granted = self.balance > 1.0 - 1e-9;
        if granted {
            self.balance -= 1.0;
        }
        granted
    }
}
