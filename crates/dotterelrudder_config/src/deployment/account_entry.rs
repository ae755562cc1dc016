//! A client account in a whole configuration.

use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::ClientAccount;
use serde::Deserialize;
use serde::Serialize;

/// A client account, the hashes of its keys and how its work is treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountEntry {
    /// The account's name.
    pub name: ClientAccount,
    /// Hashes of the keys that callers present; the keys themselves are not kept.
    pub keys: Vec<AccountKeyHash>,
    /// How urgent the account's work is, 0 first; goes before the rank of a route.
    pub rank: Option<u8>,
    /// Whether KV cache made for this account serves no other one.
    pub isolated: bool,
}
