//! Admission: the route, client account and service of a request, and the refusals with the time
//! after which a caller may retry.

use super::Gateway;
use super::DEFAULT_RETRY_AFTER;
use super::MIN_RETRY_AFTER;
use crate::placement::MAX_UTILISATION;
use crate::Admission;
use crate::CallerRequest;
use crate::CapacityDemand;
use crate::PermitWait;
use crate::Prompt;
use crate::RefusalCause;
use crate::RunnerCondition;
use compact_str::format_compact;
use dotterelrudder_config::deployment::AccountEntry;
use dotterelrudder_config::deployment::RouteRule;
use dotterelrudder_types::ErrorKind;
use dotterelrudder_types::Refusal;
use dotterelrudder_types::ServiceName;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// The largest share of a retry delay that is added at random, so that refused callers do not all
/// retry at the same time.
const RETRY_JITTER: f64 = 0.25;

/// The longest time until a retry that a refusal names during a shortage. Shortages change within
/// seconds, so that a longer estimate says nothing.
const MAX_SHORTAGE_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Gateway {
    /// Decides whether a request may be served, and by which service.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no configuration yet, no route matches, or the API key is not
    /// valid.
    pub fn admit(&mut self, now: Duration, call: &CallerRequest) -> Result<Admission, Refusal> {
        if self.configuration.version == 0 {
            let detail = "no configuration has been confirmed since the entry started";
            let mut refusal = Refusal::new(ErrorKind::NotReady, detail);
            refusal.retry_after = Some(self.add_jitter(DEFAULT_RETRY_AFTER));
            return Err(refusal);
        }
        let Some(route) = self.routes.find(&call.host, &call.path) else {
            let detail = format_compact!(
                "no route matches host \"{}\" and the path of the request",
                call.host
            );
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
        let cache_group = self.cache_groups.of(account.as_deref());
        Ok(Admission {
            route,
            account,
            cache_group,
            service,
        })
    }

    /// Returns the client account that the request's API key belongs to.
    fn account_of(
        &self,
        now: Duration,
        call: &CallerRequest,
    ) -> Result<Arc<AccountEntry>, Refusal> {
        // Control may have revoked the key in the meantime, so keys are only accepted while
        // control's last confirmation is recent.
        if !self.lease.holds(now, self.settings.key_lease) {
            let detail = "API keys cannot be checked while the entry is cut off from control";
            return Err(Refusal::new(ErrorKind::NotReady, detail));
        }
        let account = call.key.and_then(|key| self.accounts.get(&key));
        account.cloned().ok_or_else(|| {
            let detail = "the key is missing or belongs to no client account";
            Refusal::new(ErrorKind::UnknownKey, detail)
        })
    }

    /// Builds the refusal of a request that found no runner with room in time.
    pub fn overload_refusal(&mut self, service: &ServiceName) -> Refusal {
        let detail = format_compact!("no capacity at the backend servers of service \"{service}\"");
        let mut refusal = Refusal::new(ErrorKind::Overloaded, detail);
        refusal.retry_after = Some(self.add_jitter(DEFAULT_RETRY_AFTER));
        refusal
    }

    /// Returns when a caller may retry that no runner served: when the first runner of the service is
    /// open again.
    pub fn time_until_open(&mut self, now: Duration, service: &ServiceName) -> Duration {
        let runners = self.runners.of_service(service).map(|(_, r)| r);
        let waits = runners.filter_map(|r| match r.condition(now) {
            RunnerCondition::Open => Some(Duration::ZERO),
            RunnerCondition::InCooldown => Some(r.health.cooldown_until().saturating_sub(now)),
            _ => None,
        });
        let wait = waits.min().unwrap_or(DEFAULT_RETRY_AFTER);
        self.add_jitter(wait.max(MIN_RETRY_AFTER))
    }

    /// Estimates the rate at which the runners of a service free capacity for this entry, in the work of
    /// [`CapacityDemand`] per second: their memory, or their slots, shared by all entries.
    pub fn capacity_rate(&self, now: Duration, service: &ServiceName) -> f64 {
        let runners = self.runners.of_service(service).map(|(_, r)| r);
        let open = runners.filter(|r| r.is_open(now) && !r.suspected);
        let capacity = open.map(|r| match r.total_tokens() {
            Some(tokens) if tokens > 0 => tokens as f64 * MAX_UTILISATION,
            _ => f64::from(r.record.slots),
        });
        capacity.sum::<f64>() / f64::from(self.entries.get())
    }

    /// Returns the demand of a request for capacity that waits since `since`, for the shortage queue.
    pub fn capacity_demand(
        &self,
        admission: &Admission,
        prompt: Option<&Prompt>,
        since: Duration,
        deadline: Duration,
    ) -> CapacityDemand {
        let engine = &self.engine_estimate;
        let account = admission.account.as_ref();
        CapacityDemand {
            service: admission.service.clone(),
            account: account.map_or_else(String::new, |a| a.name.to_string()),
            urgency: self.urgency(admission),
            work: CapacityDemand::work_of(engine, prompt),
            arrived: since,
            since,
            objective: admission.route.objective,
            latest_start: CapacityDemand::latest_start(engine, prompt, since, deadline),
        }
    }

    /// Builds the refusal of a request for which capacity is expected only after `expected`.
    pub fn shortage_refusal(
        &mut self,
        service: &ServiceName,
        cause: RefusalCause,
        expected: Duration,
        ahead: usize,
    ) -> Refusal {
        let detail = format_compact!(
            "no capacity at the backend servers of service \"{service}\" in time ({}): expected in \
             {} ms, behind {ahead} requests",
            cause.as_str(),
            expected.as_millis()
        );
        let mut refusal = Refusal::new(ErrorKind::Overloaded, detail);
        let after = expected.clamp(MIN_RETRY_AFTER, MAX_SHORTAGE_RETRY_AFTER);
        refusal.retry_after = Some(self.add_jitter(after));
        refusal
    }

    /// Builds the refusal of a request that can't get a permit in time; `wait` is the estimated time
    /// until there is one.
    pub fn limit_refusal(&mut self, service: &ServiceName, wait: PermitWait) -> Refusal {
        let detail = match wait.is_cold {
            true => format_compact!(
                "the backend servers of service \"{service}\" are cold and the requests that they \
                 take are used up"
            ),
            false => format_compact!(
                "the request limits of the backend servers of service \"{service}\" are used up"
            ),
        };
        let mut refusal = Refusal::new(ErrorKind::Overloaded, detail);
        refusal.retry_after = Some(self.add_jitter(wait.time.max(MIN_RETRY_AFTER)));
        refusal
    }

    /// Adds a random share of up to [`RETRY_JITTER`] to a retry delay.
    pub(super) fn add_jitter(&mut self, wait: Duration) -> Duration {
        wait.mul_f64(1.0 + self.rng.random_range(0.0..RETRY_JITTER))
    }

    /// Picks one of the route's services at random, by their weights.
    fn pick_service(&mut self, route: &RouteRule) -> ServiceName {
        let weights = route.targets.iter().map(|t| t.weight);
        let total = weights.fold(0, u64::saturating_add);
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
