//! Wait queue: the order in which an entry's queued requests get capacity.
//!
//! Load pattern: runners were lost or many prompts need a full prefill, so that more long prompts
//! are in progress than the runners' memory holds. A runner that receives them anyway preempts the
//! newest requests and prefills them again, which makes it slower still. Such requests wait at the
//! entry instead. The most urgent go first, then those that can still meet their objective, then
//! the earliest. A request that needs less memory passes one that needs more, unless it is less
//! urgent.

use std::time::Duration;

use dotterelrudder_types::ServiceName;

/// The capacity that a request needs, and its priority in the queue.
#[derive(Debug, Clone, Copy)]
pub struct CapacityRequest {
    /// The urgency, 0 first.
    pub urgency: u8,
    /// The KV-cache memory that the request needs at its end, in tokens.
    pub tokens: u64,
    /// The time after which the request can no longer meet its objective for the first chunk.
    pub due: Duration,
}

/// A request in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
struct QueuedRequest {
    ticket: u64,
    service: ServiceName,
    urgency: u8,
    tokens: u64,
    due: Duration,
}

/// The queued requests in order of arrival.
#[derive(Debug, Default)]
pub struct WaitQueue {
    queued: Vec<QueuedRequest>,
    /// The last ticket that was issued.
    next: u64,
}

impl WaitQueue {
    /// Returns whether a request may try to get capacity now. `ticket` is `None` for a request that
    /// is not in the queue.
    pub fn may_try(
        &self,
        now: Duration,
        ticket: Option<u64>,
        service: &ServiceName,
        need: &CapacityRequest,
    ) -> bool {
        let arrival = ticket.unwrap_or(u64::MAX);
        let own = (need.urgency, now > need.due, arrival);
        !self.queued.iter().any(|w| {
            let precedes = (w.urgency, now > w.due, w.ticket) < own;
            let blocks = w.tokens <= need.tokens || w.urgency < need.urgency;
            w.ticket != arrival && w.service == *service && precedes && blocks
        })
    }

    /// Adds a request to the queue. Returns its ticket.
    pub fn join(&mut self, service: &ServiceName, need: &CapacityRequest) -> u64 {
        self.next += 1;
        self.queued.push(QueuedRequest {
            ticket: self.next,
            service: service.clone(),
            urgency: need.urgency,
            tokens: need.tokens,
            due: need.due,
        });
        self.next
    }

    /// Removes a request from the queue, whatever the result of its wait.
    pub fn leave(&mut self, ticket: u64) {
        self.queued.retain(|w| w.ticket != ticket);
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}
