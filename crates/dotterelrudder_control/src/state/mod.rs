//! The replicated state machine: applies committed log entries, with the same result at each
//! replica.

mod audit;
mod claims;
mod extension;
mod publishing;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use compact_str::CompactString;
use dotterelrudder_config::deployment::DeploymentConfiguration;
use dotterelrudder_config::deployment::DeploymentExtension;
use dotterelrudder_config::Configuration;
use dotterelrudder_types::AttemptId;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use dotterelrudder_types::Revision;
use dotterelrudder_types::WeightVersion;
use dotterelrudder_wire::ClaimKey;
use dotterelrudder_wire::Command;
use dotterelrudder_wire::CommandResult;
use dotterelrudder_wire::LogEntry;
use dotterelrudder_wire::Member;
use dotterelrudder_wire::ModelWeights;
use serde::Deserialize;
use serde::Serialize;

pub use audit::AuditRow;
use audit::AuditTrail;
use claims::Claims;
use claims::KeptAnswer;
use extension::StateExtension;
use publishing::ChangeHistory;

/// The last weight order issued to a side.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct IssuedOrder {
    pub(crate) fence: u64,
    pub(crate) version: WeightVersion,
    pub(crate) at_ms: u64,
}

/// The state after all log entries up to one index.
///
/// ```
/// use dotterelrudder_control::ReplicatedState;
/// assert_eq!(ReplicatedState::default().configuration().revision.0, 0);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    index: u64,
    configuration: Configuration,
    history: ChangeHistory,
    claims: Claims,
    /// Current incarnation of each registered side.
    sides: BTreeMap<InstanceName, u64>,
    /// Last weight order of each side.
    orders: BTreeMap<InstanceName, IssuedOrder>,
    draining: BTreeSet<InstanceName>,
    members: Vec<Member>,
    audit: AuditTrail,
    /// The deployment configuration in force; `whole_document` is its document as published.
    whole: DeploymentConfiguration,
    whole_document: Bytes,
    /// Weight version named last for each model.
    weights: BTreeMap<CompactString, u64>,
    /// What older releases don't know; it is encoded behind the other fields.
    #[serde(skip)]
    extension: StateExtension,
}

impl ReplicatedState {
    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the deployment configuration in force; its version is 0 until one is published.
    pub fn deployment_configuration(&self) -> &DeploymentConfiguration {
        &self.whole
    }

    /// Returns the weight version that was named last for each model.
    pub fn named_weights(&self) -> Vec<ModelWeights> {
        let named = self.weights.iter().map(|(model, version)| ModelWeights {
            model: model.clone(),
            version: *version,
        });
        named.collect()
    }

    /// Returns the data centres whose backend servers get no requests, in order of their names.
    pub fn evacuated(&self) -> Vec<DataCentre> {
        self.extension.evacuated.iter().cloned().collect()
    }

    /// Returns whether a data centre is evacuated or was.
    pub fn had_evacuation(&self, data_centre: &DataCentre) -> bool {
        let StateExtension {
            evacuated,
            formerly_evacuated,
            ..
        } = &self.extension;
        evacuated.contains(data_centre) || formerly_evacuated.contains(data_centre)
    }

    /// Returns whether any data centre is evacuated or was.
    pub fn had_evacuations(&self) -> bool {
        let extension = &self.extension;
        !extension.evacuated.is_empty() || !extension.formerly_evacuated.is_empty()
    }

    /// Returns the index of the last entry applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the instances that an operator has asked to drain.
    pub fn draining(&self) -> Vec<InstanceName> {
        self.draining.iter().cloned().collect()
    }

    /// Returns the audit trail, oldest row first.
    pub fn audit(&self) -> &[AuditRow] {
        self.audit.rows()
    }

    /// Returns the number of claims in any state, including tombstones.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the claims of requests in progress, with the side and attempt that hold each.
    pub(crate) fn held_claims(&self) -> Vec<(ClaimKey, InstanceName, AttemptId)> {
        self.claims.held()
    }

    pub(crate) fn history(&self) -> &ChangeHistory {
        &self.history
    }

    pub(crate) fn orders(&self) -> &BTreeMap<InstanceName, IssuedOrder> {
        &self.orders
    }

    /// Applies the next committed entry and returns its result.
    pub fn apply(&mut self, entry: &LogEntry) -> CommandResult {
        self.index = entry.index;
        match &entry.command {
            Command::Noop => CommandResult::Passed(entry.index),
            Command::Publish {
                change_id,
                base,
                author,
                at_ms,
                content,
                change,
            } => self.publish(change_id, *base, author, *at_ms, *content, change),
            Command::Claim {
                key,
                holder,
                incarnation,
                attempt,
                at_ms,
            } => {
                let holder = (holder.clone(), *incarnation, *attempt);
                CommandResult::Claim(self.claims.acquire(key, holder, *at_ms))
            }
            Command::FinishClaim {
                key,
                attempt,
                status,
                content_type,
                body,
                usage,
                at_ms,
            } => {
                let answer = KeptAnswer {
                    status: *status,
                    content_type: content_type.clone(),
                    body: body.clone(),
                    usage: *usage,
                };
                self.claims.finish(key, *attempt, answer, *at_ms);
                CommandResult::Done
            }
            Command::ReleaseClaim { key, attempt } => {
                self.claims.release(key, *attempt);
                CommandResult::Done
            }
            Command::MarkClaimLost { key, attempt } => {
                self.claims.mark_unknown(key, *attempt);
                CommandResult::Done
            }
            Command::RegisterSide { side, incarnation } => {
                self.sides.insert(side.clone(), *incarnation);
                self.claims.mark_old_claims_unknown(side, *incarnation);
                CommandResult::Fence(self.orders.get(side).map_or(0, |o| o.fence))
            }
            Command::IssueOrder {
                side,
                version,
                at_ms,
            } => {
                let order = IssuedOrder {
                    fence: entry.index,
                    version: version.clone(),
                    at_ms: *at_ms,
                };
                self.orders.insert(side.clone(), order);
                CommandResult::Fence(entry.index)
            }
            Command::Drain {
                instance,
                on,
                author,
                at_ms,
            } => self.drain(instance, *on, author, *at_ms),
            Command::PublishWhole {
                configuration,
                document,
                at_ms,
            } => {
                let extension = DeploymentExtension::default();
                self.publish_deployment(configuration, extension, document, *at_ms);
                CommandResult::Done
            }
            Command::PublishExtended {
                configuration,
                extension,
                document,
                at_ms,
            } => {
                self.publish_deployment(configuration, extension.clone(), document, *at_ms);
                CommandResult::Done
            }
            Command::SetEvacuation {
                data_centre,
                evacuated,
                at_ms,
            } => {
                self.set_evacuation(data_centre, *evacuated, *at_ms);
                CommandResult::Done
            }
            Command::ReadWhole => CommandResult::Whole {
                version: self.whole.version,
                document: self.whole_document.clone(),
            },
            Command::NameWeights { weights, at_ms } => {
                self.name_weights(weights, *at_ms);
                CommandResult::Done
            }
            Command::OrderWeights { .. } => CommandResult::Fence(entry.index),
            Command::Members { members } => {
                self.members = members.clone();
                CommandResult::Done
            }
        }
    }

    fn publish_deployment(
        &mut self,
        configuration: &DeploymentConfiguration,
        extension: DeploymentExtension,
        document: &Bytes,
        at_ms: u64,
    ) {
        let held = self.whole.version;
        let accepted = configuration.version > held;
        self.push_audit_row(
            held,
            accepted,
            at_ms,
            format!("version {}", configuration.version),
        );
        if accepted {
            let mut configuration = configuration.clone();
            configuration.keep_keys_required(&self.whole);
            self.whole = configuration;
            self.whole.extend(&extension);
            self.extension.deployment = extension;
            self.whole_document = document.clone();
        }
    }

    fn set_evacuation(&mut self, data_centre: &DataCentre, evacuated: bool, at_ms: u64) {
        let StateExtension {
            evacuated: set,
            formerly_evacuated,
            ..
        } = &mut self.extension;
        let changed = if evacuated {
            formerly_evacuated.remove(data_centre);
            set.insert(data_centre.clone())
        } else {
            let removed = set.remove(data_centre);
            if removed {
                formerly_evacuated.insert(data_centre.clone());
            }
            removed
        };
        let what = if evacuated { "on" } else { "off" };
        let line = format!("evacuation of \"{data_centre}\" {what}");
        self.push_audit_row(self.whole.version, changed, at_ms, line);
    }

    fn name_weights(&mut self, weights: &ModelWeights, at_ms: u64) {
        let held = self.weights.get(&weights.model).copied().unwrap_or(0);
        let accepted = weights.version > held;
        let line = format!("weights {} of \"{}\"", weights.version, weights.model);
        self.push_audit_row(self.whole.version, accepted, at_ms, line);
        if accepted {
            self.weights.insert(weights.model.clone(), weights.version);
        }
    }

    fn push_audit_row(&mut self, held: u64, accepted: bool, at_ms: u64, line: String) {
        self.audit.push(AuditRow {
            index: self.index,
            at_ms,
            author: "operator".into(),
            change_id: "".into(),
            base: Revision(held),
            outcome: if accepted { "accepted" } else { "not newer" }.into(),
            lines: vec![line],
        });
    }

    fn drain(
        &mut self,
        instance: &InstanceName,
        on: bool,
        author: &str,
        at_ms: u64,
    ) -> CommandResult {
        if on {
            self.draining.insert(instance.clone());
        } else {
            self.draining.remove(instance);
        }
        self.audit.push(AuditRow {
            index: self.index,
            at_ms,
            author: author.into(),
            change_id: "".into(),
            base: self.configuration.revision,
            outcome: "accepted".into(),
            lines: vec![format!(
                "drain \"{instance}\" {}",
                if on { "on" } else { "off" }
            )],
        });
        CommandResult::Done
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let mut data = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("the state holds only types that bincode can write");
        self.extension.encode_behind(&mut data);
        data
    }

    /// Decodes a snapshot; `None` when the data is not a valid one.
    pub fn decode(data: &[u8]) -> Option<Self> {
        let decoded = bincode::serde::decode_from_slice(data, bincode::config::standard());
        let (mut state, read): (Self, usize) = decoded.ok()?;
        state.extension = StateExtension::decode(&data[read..])?;
        state.whole.extend(&state.extension.deployment);
        Some(state)
    }
}

/// Returns the Raft members that a snapshot holds; empty when it cannot be decoded.
pub(crate) fn members_of_snapshot(data: &[u8]) -> Vec<Member> {
    ReplicatedState::decode(data)
        .map(|s| s.members)
        .unwrap_or_default()
}
