//! Which requests are served, and when refused callers come back.

use super::Gateway;
use super::DEFAULT_RETRY_AFTER;
use crate::Admission;
use crate::CallerRequest;
use compact_str::format_compact;
use dotterelrudder_config::deployment::AccountEntry;
use dotterelrudder_config::deployment::RouteRule;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::ServiceName;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// By which share of the wait callers are spread, so that they don't come back together.
const RETRY_JITTER: f64 = 0.25;

impl Gateway {
    /// Decides whether a request may be served, and by which service.
    ///
    /// # Errors
    ///
    /// Returns why it is refused.
    pub fn admit(&mut self, now: Duration, call: &CallerRequest) -> Result<Admission, Refusal> {
        if self.configuration.version == 0 {
            let detail = "no configuration was confirmed since the start";
            let mut refusal = Refusal::new(ErrorKind::NotReady, detail);
            refusal.retry_after = Some(self.add_jitter(DEFAULT_RETRY_AFTER));
            return Err(refusal);
        }
        let Some(route) = self.routes.find(&call.host, &call.path) else {
            let detail = format_compact!("no route for host \"{}\" and its path", call.host);
            return Err(Refusal::new(ErrorKind::UnknownModel, detail));
        };
        let account = if route.needs_key && !self.configuration.accounts.is_empty() {
            Some(self.account_of(now, call)?)
        } else {
            None
        };
        let service = self.pick_service(&route);
        let window = self.settings.retry_window;
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.count_request(now, window);
        Ok(Admission {
            route,
            account,
            service,
        })
    }

    fn account_of(
        &self,
        now: Duration,
        call: &CallerRequest,
    ) -> Result<Arc<AccountEntry>, Refusal> {
        // Control may have taken a key away since; without its word no key counts for long.
        if !self.lease.holds(now, self.settings.key_lease) {
            let detail = "keys can't be checked without contact to control";
            return Err(Refusal::new(ErrorKind::NotReady, detail));
        }
        let account = call.key.and_then(|key| self.accounts.get(&key));
        account.cloned().ok_or_else(|| {
            let detail = "the key is missing or belongs to no client account";
            Refusal::new(ErrorKind::UnknownKey, detail)
        })
    }

    /// Builds the refusal of a request that found no room in time.
    pub fn overload_refusal(&mut self, service: &ServiceName) -> Refusal {
        let detail = format_compact!("no room at the backend servers of \"{service}\"");
        let mut refusal = Refusal::new(ErrorKind::Overloaded, detail);
        refusal.retry_after = Some(self.add_jitter(DEFAULT_RETRY_AFTER));
        refusal
    }

    /// Draws a wait a little longer than asked for.
    pub(super) fn add_jitter(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(1.0 + self.rng.random_range(0.0..RETRY_JITTER))
    }

    fn pick_service(&mut self, route: &RouteRule) -> ServiceName {
        let total: u64 = route.targets.iter().map(|t| t.weight).sum();
        let mut drawn = self.rng.random_range(0..total.max(1));
        for target in &route.targets {
            if drawn < target.weight {
                return target.service.clone();
            }
            drawn -= target.weight;
        }
        let last = route.targets.last();
        last.map(|t| t.service.clone()).unwrap_or_default()
    }
}
