//! Under which text KV cache is kept.

use compact_str::format_compact;
use compact_str::CompactString;

/// KV cache is found only under the salt that it was made with: weights and, where an account is
/// isolated, its name are part of it.
pub fn cache_salt(weights: u64, isolated_account: Option<&str>) -> CompactString {
    match isolated_account {
        Some(name) => format_compact!("v{weights}.{name}"),
        None => format_compact!("v{weights}"),
    }
}

/// Returns the weights of a salt; none for one that [`cache_salt`] didn't make.
pub fn weights_of_salt(salt: &str) -> Option<u64> {
    let weights = salt.strip_prefix('v')?.split('.').next()?;
    weights.parse().ok()
}
