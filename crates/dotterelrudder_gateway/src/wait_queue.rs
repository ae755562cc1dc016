//! In which order requests wait at an entry for room at a runner.
//!
//! Load pattern: runners were lost or prompts have to be read anew, so that more long prompts are
//! under way than the runners' memories hold. A runner that is given them all the same preempts
//! the newest ones and reads them again, which makes it slower still. They wait at the entry
//! instead, the most urgent first, then those that can still be in time, then the one that came
//! first; a request that needs less room passes one that needs more, unless it is less urgent.

use std::time::Duration;

use dotterelrudder_types::ServiceName;

/// What a request needs, and how it stands among others.
#[derive(Debug, Clone, Copy)]
pub struct CapacityRequest {
    /// How urgent it is, 0 first.
    pub urgency: u8,
    /// The memory that it needs at its end, in tokens.
    pub tokens: u64,
    /// Until when its first part can still be in time.
    pub due: Duration,
}

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
struct QueuedRequest {
    ticket: u64,
    service: ServiceName,
    urgency: u8,
    tokens: u64,
    due: Duration,
}

/// The requests that wait, in the order in which they came.
#[derive(Debug, Default)]
pub struct WaitQueue {
    queued: Vec<QueuedRequest>,
    next: u64,
}

impl WaitQueue {
    /// Returns whether a request that just came, or that waits under `ticket`, may try for room.
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

    /// Lets a request wait; returns its ticket.
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

    /// Takes a request out, whichever way its wait ended.
    pub fn leave(&mut self, ticket: u64) {
        self.queued.retain(|w| w.ticket != ticket);
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}
