//! The full configuration at one revision, with lookup by key, model and path.

use std::collections::BTreeMap;

use dotterelrudder_types::AccountKeyHash;
use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::Revision;
use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::AccountDeclaration;
use crate::ChangeSet;
use crate::ServiceDeclaration;
use crate::ServiceKind;

/// All declarations of services and client accounts in force at one revision.
///
/// ```
/// use dotterelrudder_config::Configuration;
/// assert_eq!(Configuration::default().revision.0, 0);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The revision at which these declarations were accepted.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceDeclaration>,
    /// Client accounts by name.
    pub accounts: BTreeMap<ClientAccount, AccountDeclaration>,
}

impl Configuration {
    /// Applies a change and sets the revision to `revision`.
    pub fn apply(&mut self, change: &ChangeSet, revision: Revision) {
        for name in &change.removed_services {
            self.services.remove(name);
        }
        for name in &change.removed_accounts {
            self.accounts.remove(name);
        }
        for service in &change.services {
            self.services.insert(service.name.clone(), service.clone());
        }
        for account in &change.accounts {
            self.accounts.insert(account.name.clone(), account.clone());
        }
        self.revision = revision;
    }

    /// Finds the account that owns a key hash.
    ///
    /// Compares against every known hash, so that the time taken does not reveal which hash
    /// matched.
    pub fn account_by_key(&self, hash: &AccountKeyHash) -> Option<&AccountDeclaration> {
        let mut found = None;
        for account in self.accounts.values() {
            for known in &account.key_hashes {
                if known.matches(hash) {
                    found = Some(account);
                }
            }
        }
        found
    }

    /// Finds the service that serves `model`.
    pub fn service_by_model(&self, model: &str) -> Option<&ServiceDeclaration> {
        self.services
            .values()
            .find(|s| s.kind == ServiceKind::Model && s.model == model)
    }

    /// Finds the plain service whose path prefix is the longest that matches `path`.
    pub fn service_by_path(&self, path: &str) -> Option<&ServiceDeclaration> {
        self.services
            .values()
            .filter(|s| s.kind == ServiceKind::Plain && path.starts_with(s.path_prefix.as_str()))
            .max_by_key(|s| s.path_prefix.len())
    }
}
