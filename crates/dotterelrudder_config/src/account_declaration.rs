//! Declaration of one client account: its tier, keys, request rate and services.

use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::ServiceName;
use dotterelrudder_types::Tier;
use serde::Deserialize;
use serde::Serialize;

/// One client account as operators declare it in a `[[client_account]]` table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountDeclaration {
    /// The account's name, unique in the deployment.
    pub name: ClientAccount,
    /// The tier that decides how its requests and KV cache blocks are treated under load.
    pub tier: Tier,
    /// Hashes of the bearer keys that authenticate as this account.
    pub key_hashes: Vec<AccountKeyHash>,
    /// Limit of requests per second, over all entries together.
    pub requests_per_second: u32,
    /// The services that the account may call.
    pub services: Vec<ServiceName>,
}
