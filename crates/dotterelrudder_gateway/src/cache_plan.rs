//! Where a prompt's KV cache comes from and goes to.

use std::net::SocketAddr;

use smallvec::SmallVec;

/// The stores or runners that a request names to its runner, one item for each part of the prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CachePlan {
    /// Where each part can be fetched.
    pub fetch: SmallVec<[Option<SocketAddr>; 4]>,
    /// Where each part shall be saved once it was read.
    pub save: SmallVec<[Option<SocketAddr>; 4]>,
    /// The engines' clock at which fetches that haven't ended are thrown away, in milliseconds.
    pub until_ms: Option<u64>,
}

impl CachePlan {
    /// Returns whether the runner is told to fetch anything.
    pub fn fetches(&self) -> bool {
        self.fetch.iter().any(Option::is_some)
    }

    /// Returns whether the runner is told to save anything.
    pub fn saves(&self) -> bool {
        self.save.iter().any(Option::is_some)
    }
}
