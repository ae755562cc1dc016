//! Under which text KV cache is kept.

use compact_str::format_compact;
use compact_str::CompactString;
use dotterelrudder_config::whole::AccountEntry;

/// KV cache is found only under the salt that it was made with: weights and, where an account is
/// isolated, its name are part of it.
pub(crate) fn cache_salt(weights: Option<u64>, account: Option<&AccountEntry>) -> CompactString {
    let version = weights.unwrap_or(0);
    match account.filter(|a| a.isolated) {
        Some(a) => format_compact!("v{version}.{}", a.name),
        None => format_compact!("v{version}"),
    }
}
