//! The salt under which KV cache is stored and looked up.

use compact_str::format_compact;
use compact_str::CompactString;

use super::CacheGroup;

/// Separates the weight version from the name of an isolated account.
const ACCOUNT_SEPARATOR: char = '.';
/// Separates the weight version from the hash of the accounts that are kept out. No salt of a single
/// account has it at this place, whatever the account's name.
const GROUP_SEPARATOR: char = '+';

/// Returns the salt for a weight version and a group of accounts.
///
/// KV cache is found only under the salt that it was computed with, so that it is never reused for
/// other weights, nor across the border of an isolated account.
pub fn cache_salt(weights: u64, group: &CacheGroup) -> CompactString {
    match group {
        CacheGroup::All => format_compact!("v{weights}"),
        CacheGroup::AllBut(hash) => format_compact!("v{weights}{GROUP_SEPARATOR}{hash}"),
        CacheGroup::Only(name) => format_compact!("v{weights}{ACCOUNT_SEPARATOR}{name}"),
    }
}

/// Returns the weight version in a salt; `None` when the text has no weight version in the format
/// of [`cache_salt`].
pub fn weights_of_salt(salt: &str) -> Option<u64> {
    let separators = [ACCOUNT_SEPARATOR, GROUP_SEPARATOR];
    let weights = salt.strip_prefix('v')?.split(separators).next()?;
    weights.parse().ok()
}
