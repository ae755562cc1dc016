//! A budget for repeated calls of backend servers, so that retries can't multiply load.

/// The share of fresh requests that may be called again.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries that can be saved up.
const MAX_SAVED: f64 = 20.0;

/// Grants one retry for each ten fresh requests.
///
/// ```
/// use dotterelrudder_route::RetryBudget;
/// let mut budget = RetryBudget::default();
/// assert!(!budget.take());
/// (0..10).for_each(|_| budget.earn());
/// assert!(budget.take());
/// assert!(!budget.take());
/// ```
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// Notes a fresh request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED);
    }

    /// Takes one retry, if there is one.
    pub fn take(&mut self) -> bool {
        // Ten earnings of a tenth sum to a little less than one in binary.
        let granted = self.saved > 1.0 - 1e-9;
        if granted {
            self.saved -= 1.0;
        }
        granted
    }
}
