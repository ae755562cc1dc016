//! Salt that separates the KV cache of weight versions and isolated accounts.

use compact_str::CompactString;
use dotterelrudder_config::deployment::AccountEntry;

/// Returns the KV-cache salt of an account's requests on a weight version. Isolated accounts have
/// their own salt.
pub(crate) fn cache_salt(weights: Option<u64>, account: Option<&AccountEntry>) -> CompactString {
    let isolated = account.filter(|a| a.isolated).map(|a| a.name.as_str());
    dotterelrudder_wire::cache_salt(weights.unwrap_or(0), isolated)
}
