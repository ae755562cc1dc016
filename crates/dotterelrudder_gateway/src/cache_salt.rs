//! Under which text an account's KV cache is kept.

use compact_str::CompactString;
use dotterelrudder_config::deployment::AccountEntry;

/// Returns the salt of an account's requests at a runner; an isolated account has one of its own.
pub(crate) fn cache_salt(weights: Option<u64>, account: Option<&AccountEntry>) -> CompactString {
    let isolated = account.filter(|a| a.isolated).map(|a| a.name.as_str());
    dotterelrudder_wire::cache_salt(weights.unwrap_or(0), isolated)
}
