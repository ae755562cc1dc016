//! Shortage queue: who gets capacity, who waits and who is refused while capacity is short.
//!
//! Load pattern: a burst of long prompts, or the loss of a quarter of the runners, takes all capacity
//! for many seconds. With one wait limit for all, requests are refused late that could have been served
//! before their deadline, and others wait for capacity that cannot come in time. Here each request waits
//! as long as it is of use to its caller, and is refused at the first look if capacity is expected too
//! late. docs/design/admission-by-cost.md compares the orders that were considered.

use std::collections::HashMap;
use std::time::Duration;

use dotterelrudder_types::ServiceName;

use crate::AdmissionVerdict;
use crate::CapacityDemand;
use crate::ReturningCallers;
use crate::RoomRule;
use crate::ServiceShortage;

/// The requests that wait for capacity at this entry, by service.
#[derive(Debug, Default)]
pub struct ShortageQueue {
    services: HashMap<ServiceName, ServiceShortage>,
    returning: ReturningCallers,
    /// The last ticket that was issued.
    next: u64,
}

impl ShortageQueue {
    /// Returns which room a request may take now; none if others go before it. `ticket` is `None` for a
    /// request that does not wait.
    pub fn may_try(
        &mut self,
        now: Duration,
        ticket: Option<u64>,
        demand: &CapacityDemand,
    ) -> Option<RoomRule> {
        match self.services.get_mut(&demand.service) {
            Some(shortage) => shortage.may_try(now, ticket, demand),
            None => Some(RoomRule::Usual),
        }
    }

    /// Decides what a request does that may not try, or found no capacity. `capacity` is the estimated
    /// rate at which the open runners free capacity for this entry, in work per second.
    pub fn judge(
        &mut self,
        now: Duration,
        ticket: Option<u64>,
        demand: &CapacityDemand,
        capacity: f64,
    ) -> AdmissionVerdict {
        let service = self.services.entry(demand.service.clone());
        let shortage = service.or_insert_with(|| ServiceShortage::new(now, capacity));
        shortage.judge(now, ticket, demand, capacity)
    }

    /// Adds a request to those that wait. Returns its ticket.
    pub fn join(&mut self, now: Duration, demand: &CapacityDemand, capacity: f64) -> u64 {
        self.next += 1;
        let service = self.services.entry(demand.service.clone());
        let shortage = service.or_insert_with(|| ServiceShortage::new(now, capacity));
        shortage.join(now, self.next, demand, capacity);
        self.next
    }

    /// Removes a request from those that wait, whatever the result of its wait.
    pub fn leave(&mut self, now: Duration, ticket: u64) {
        let mut services = self.services.values_mut();
        let _found = services.any(|s| s.leave(now, ticket));
    }

    /// Counts a request that was placed, before it leaves.
    pub fn placed(&mut self, now: Duration, ticket: Option<u64>, demand: &CapacityDemand) {
        if let Some(shortage) = self.services.get_mut(&demand.service) {
            shortage.placed(now, ticket, demand);
        }
    }

    /// Records that the caller of a request was told when to return.
    pub fn refused(
        &mut self,
        now: Duration,
        id: &str,
        demand: &CapacityDemand,
        retry_after: Duration,
    ) {
        let key = (demand.account.as_str(), id);
        self.returning
            .refused(now, key, demand.arrived, retry_after);
    }

    /// Returns when a request first arrived if its caller was refused before and has come back.
    pub fn take_returning(&mut self, now: Duration, account: &str, id: &str) -> Option<Duration> {
        self.returning.take(now, account, id)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.services.values().map(ServiceShortage::len).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
