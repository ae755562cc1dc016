//! The salt under which KV cache is stored and looked up.

use compact_str::format_compact;
use compact_str::CompactString;

/// Returns the salt for a weight version and, for an isolated account, the account's name.
///
/// KV cache is found only under the salt that it was computed with, so that it is never reused for
/// other weights, nor across the border of an isolated account.
pub fn cache_salt(weights: u64, isolated_account: Option<&str>) -> CompactString {
    match isolated_account {
        Some(name) => format_compact!("v{weights}.{name}"),
        None => format_compact!("v{weights}"),
    }
}

/// Returns the weight version in a salt; `None` when the text has no weight version in the format
/// of [`cache_salt`].
pub fn weights_of_salt(salt: &str) -> Option<u64> {
    let weights = salt.strip_prefix('v')?.split('.').next()?;
    weights.parse().ok()
}
