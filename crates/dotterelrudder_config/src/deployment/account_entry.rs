//! A client account in a deployment configuration.

use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::ClientAccount;
use serde::Deserialize;
use serde::Serialize;

/// A client account with the hashes of its keys, its priority and its cache isolation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountEntry {
    /// The account's name, as runners receive it with each request.
    pub name: ClientAccount,
    /// Hashes of the keys that callers present; the keys themselves are not kept.
    pub keys: Vec<AccountKeyHash>,
    /// The priority of the account's requests, 0 being the most urgent; overrides the rank of the
    /// route.
    pub rank: Option<u8>,
    /// Whether KV cache computed for this account is never reused for another account.
    pub isolated: bool,
}
