//! KV-cache plan: where the parts of a prompt are fetched from and saved to.

use std::net::SocketAddr;

use smallvec::SmallVec;

/// The stores and runners that a request names for its KV cache. `fetch` and `save` have one item
/// for each part of the prompt, or none at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CachePlan {
    /// The address to fetch each part from.
    pub fetch: SmallVec<[Option<SocketAddr>; 4]>,
    /// The address of the store to save each part to after its prefill.
    pub save: SmallVec<[Option<SocketAddr>; 4]>,
    /// The time at which the runner abandons unfinished fetches, in milliseconds of the engines'
    /// clock.
    pub until_ms: Option<u64>,
}

impl CachePlan {
    /// Returns whether the plan fetches any part.
    pub fn fetches(&self) -> bool {
        self.fetch.iter().any(Option::is_some)
    }

    /// Returns whether the plan saves any part.
    pub fn saves(&self) -> bool {
        self.save.iter().any(Option::is_some)
    }
}
