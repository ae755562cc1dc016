//! The declaration of one client account.

use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::ServiceName;
use dotterelrudder_types::Tier;
use serde::Deserialize;
use serde::Serialize;

/// One client account as its operators declare it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountDeclaration {
    /// The account's name, unique in the deployment.
    pub name: ClientAccount,
    /// Its tier of treatment.
    pub tier: Tier,
    /// Hashes of the bearer keys that act for it.
    pub key_hashes: Vec<AccountKeyHash>,
    /// Requests a second over all entries.
    pub requests_per_second: u32,
    /// The services it may use.
    pub services: Vec<ServiceName>,
}
