//! The verdict on a request that found no capacity.

use std::time::Duration;

/// Why a request is refused during a shortage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Capacity is expected only after the request is of no more use.
    NoCapacityInTime,
    /// The time in which the request could be served has passed.
    TimePassed,
}

impl RefusalCause {
    /// Returns the cause as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoCapacityInTime => "no_capacity_in_time",
            Self::TimePassed => "time_passed",
        }
    }
}

/// What a request does that found no capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionVerdict {
    /// It waits in the queue.
    Wait {
        /// The expected time until it gets capacity.
        expected: Duration,
        /// The number of requests that go before it.
        ahead: usize,
    },
    /// It is refused now.
    Refuse {
        /// Why.
        cause: RefusalCause,
        /// The expected time until there would be capacity for it.
        expected: Duration,
        /// The number of requests that would go before it.
        ahead: usize,
    },
}
