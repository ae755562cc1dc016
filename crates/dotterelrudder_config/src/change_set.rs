//! The difference between two configurations: services and accounts added, replaced or removed.

use dotterelrudder_types::ClientAccount;
use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::AccountDeclaration;
use crate::Configuration;
use crate::ServiceDeclaration;

/// The delta between two configurations; deltas are sent and logged instead of full
/// configurations.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeSet {
    /// Services added or replaced.
    pub services: Vec<ServiceDeclaration>,
    /// Services removed.
    pub removed_services: Vec<ServiceName>,
    /// Client accounts added or replaced.
    pub accounts: Vec<AccountDeclaration>,
    /// Client accounts removed.
    pub removed_accounts: Vec<ClientAccount>,
}

impl ChangeSet {
    /// Computes the change that turns `from` into `to`.
    pub fn between(from: &Configuration, to: &Configuration) -> Self {
        Self {
            services: changed(&from.services, &to.services),
            removed_services: removed(&from.services, &to.services),
            accounts: changed(&from.accounts, &to.accounts),
            removed_accounts: removed(&from.accounts, &to.accounts),
        }
    }

    /// Merges a later change into this one, so that one message carries several revisions.
    ///
    /// For a name that both changes contain, the later change replaces the earlier one.
    pub fn merge(&mut self, later: &Self) {
        let put = |name: &ServiceName| later.services.iter().any(|s| s.name == *name);
        let gone = |name: &ServiceName| later.removed_services.contains(name);
        self.services.retain(|s| !put(&s.name) && !gone(&s.name));
        self.removed_services
            .retain(|name| !put(name) && !gone(name));
        let put = |name: &ClientAccount| later.accounts.iter().any(|a| a.name == *name);
        let gone = |name: &ClientAccount| later.removed_accounts.contains(name);
        self.accounts.retain(|a| !put(&a.name) && !gone(&a.name));
        self.removed_accounts
            .retain(|name| !put(name) && !gone(name));
        self.services.extend(later.services.iter().cloned());
        self.removed_services
            .extend(later.removed_services.iter().cloned());
        self.accounts.extend(later.accounts.iter().cloned());
        self.removed_accounts
            .extend(later.removed_accounts.iter().cloned());
    }

    /// Returns whether the change has no effect.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Describes the change, one line per declaration, for the `diff` command and the audit trail.
    pub fn describe(&self) -> Vec<String> {
        let services = self
            .services
            .iter()
            .map(|s| format!("put service \"{}\"", s.name));
        let accounts = self
            .accounts
            .iter()
            .map(|a| format!("put client_account \"{}\"", a.name));
        let gone = self
            .removed_services
            .iter()
            .map(|n| format!("remove service \"{n}\""));
        let left = self
            .removed_accounts
            .iter()
            .map(|n| format!("remove client_account \"{n}\""));
        services.chain(accounts).chain(gone).chain(left).collect()
    }
}

type Map<K, V> = std::collections::BTreeMap<K, V>;

fn changed<K, V>(from: &Map<K, V>, to: &Map<K, V>) -> Vec<V>
where
    K: Ord,
    V: Clone + PartialEq,
{
    to.iter()
        .filter(|(k, v)| from.get(k) != Some(v))
        .map(|(_, v)| v.clone())
        .collect()
}

fn removed<K, V>(from: &Map<K, V>, to: &Map<K, V>) -> Vec<K>
where
    K: Ord + Clone,
{
    from.keys()
        .filter(|k| !to.contains_key(k))
        .cloned()
        .collect()
}
