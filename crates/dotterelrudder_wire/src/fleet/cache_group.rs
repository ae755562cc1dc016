//! The client accounts that share KV cache with each other.

use compact_str::CompactString;
use dotterelrudder_types::ClientAccount;

/// The client accounts whose KV cache a request may use, and that may use what it leaves.
///
/// The group is a function of one configuration: every entry that holds the configuration knows the
/// same group, and what was computed under another configuration is in it only if the same accounts
/// were isolated then. See docs/design/cache-groups.md.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum CacheGroup {
    /// All accounts; none is isolated.
    #[default]
    All,
    /// All accounts but the isolated ones; holds a hash of the names of these.
    AllBut(CompactString),
    /// A single isolated account.
    Only(ClientAccount),
}
