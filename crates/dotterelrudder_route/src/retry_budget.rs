//! The retry budget, which limits repeated calls of backend servers to a share of the requests, so
//! that retries cannot multiply the load of a failing deployment.

use std::time::Duration;

/// Retries earned by each new request: one for every ten.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries per second that are granted regardless of the request rate.
const MIN_RETRIES_PER_SECOND: f64 = 1.0;
/// The maximum balance, in retries.
const MAX_BALANCE: f64 = 20.0;

/// Grants one retry for every ten new requests. A full balance at the start and a minimum rate let
/// an entry with little traffic retry its few requests when a runner is lost.
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
    /// Credits the budget for a new request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Withdraws one retry; returns `false` if the balance is too low.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.balance = (self.balance + elapsed * MIN_RETRIES_PER_SECOND).min(MAX_BALANCE);
        // Ten deposits of 0.1 add up to slightly less than 1 in binary floating point.
        let granted = self.balance > 1.0 - 1e-9;
        if granted {
            self.balance -= 1.0;
        }
        granted
    }
}
