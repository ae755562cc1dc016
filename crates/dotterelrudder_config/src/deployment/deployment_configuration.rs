//! The configuration of a whole deployment as one versioned document, and its checks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dotterelrudder_types::ClientAccount;
use serde::Deserialize;
use serde::Serialize;

use super::AccountEntry;
use super::CallerLimits;
use super::ConfigurationFault;
use super::DeploymentExtension;
use super::RouteRule;
use super::ServiceEndpoint;

/// Everything that an operator declares for a deployment, as one versioned document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DeploymentConfiguration {
    /// The version; the highest accepted version is in force. 0 means that none was accepted.
    pub version: u64,
    /// The rules that assign requests to services by host and path prefix.
    pub routes: Vec<RouteRule>,
    /// The services and what their backend servers offer.
    pub services: Vec<ServiceEndpoint>,
    /// The client accounts; if the list is empty, no request needs a key. In force, a configuration
    /// without accounts that replaces one with accounts holds one without keys, see
    /// [`Self::keep_keys_required`].
    pub accounts: Vec<AccountEntry>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
}

impl DeploymentConfiguration {
    /// Checks the rules that span several fields: references to services, duplicate routes and
    /// keys, and weights and time limits of 0.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), ConfigurationFault> {
        let services: BTreeSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut seen_matches = BTreeSet::new();
        for route in &self.routes {
            for target in &route.targets {
                if !services.contains(target.service.as_str()) {
                    return Err(ConfigurationFault::UnknownService {
                        route: route.name.clone(),
                        service: target.service.0.clone(),
                    });
                }
            }
            if !seen_matches.insert((route.host.as_str(), route.path_prefix.as_str())) {
                return Err(ConfigurationFault::SamePlace {
                    host: route.host.clone(),
                    path_prefix: route.path_prefix.clone(),
                });
            }
            if route.targets.iter().all(|t| t.weight == 0) {
                return Err(ConfigurationFault::NoWeight(route.name.clone()));
            }
            if route.time_limit.is_zero() {
                return Err(ConfigurationFault::NoTimeLimit(route.name.clone()));
            }
        }
        self.check_keys()
    }

    /// Lets routes need a key under a configuration without accounts if they needed one under the
    /// configuration that it replaces. Otherwise the removal of the last account would open its routes to
    /// keys that were revoked with it and to keys that no configuration held. The requirement is held
    /// as an account without keys, which every release and every snapshot knows.
    pub fn keep_keys_required(&mut self, replaced: &Self) {
        if self.accounts.is_empty() && !replaced.accounts.is_empty() {
            self.accounts.push(AccountEntry {
                name: ClientAccount::default(),
                keys: Vec::new(),
                rank: None,
                isolated: false,
            });
        }
    }

    /// Returns the fields that aren't part of the encoding.
    pub fn extension(&self) -> DeploymentExtension {
        let services = self.services.iter();
        let warm_ups = services.filter_map(|s| Some((s.name.clone(), s.warm_up?)));
        DeploymentExtension {
            warm_ups: warm_ups.collect(),
        }
    }

    /// Puts back the fields that aren't part of the encoding.
    pub fn extend(&mut self, extension: &DeploymentExtension) {
        for (name, warm_up) in &extension.warm_ups {
            if let Some(service) = self.services.iter_mut().find(|s| s.name == *name) {
                service.warm_up = Some(*warm_up);
            }
        }
    }

    fn check_keys(&self) -> Result<(), ConfigurationFault> {
        let mut owners = BTreeMap::new();
        for account in &self.accounts {
            for key in &account.keys {
                let owner = *owners.entry(*key).or_insert(&account.name);
                if *owner != account.name {
                    return Err(ConfigurationFault::SharedKey {
                        first: owner.0.clone(),
                        second: account.name.0.clone(),
                    });
                }
            }
        }
        Ok(())
    }
}
