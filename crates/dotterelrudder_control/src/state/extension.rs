//! What newer releases added to the replicated state.

use std::collections::BTreeSet;

use dotterelrudder_config::deployment::DeploymentExtension;
use dotterelrudder_types::DataCentre;
use serde::Deserialize;
use serde::Serialize;

/// The fields that older releases don't know. They follow the other fields in a snapshot, where an
/// older release doesn't read them, and are left out while they are empty.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct StateExtension {
    /// The fields of the deployment configuration that aren't part of its encoding.
    pub(super) deployment: DeploymentExtension,
    /// The data centres whose backend servers get no requests.
    pub(super) evacuated: BTreeSet<DataCentre>,
    /// The data centres that were evacuated before and aren't now. Entries may not have heard yet of
    /// the end, and a repeated call that ends the evacuation is not about an unknown data centre.
    pub(super) formerly_evacuated: BTreeSet<DataCentre>,
}

impl StateExtension {
    /// Appends the encoded fields to a snapshot.
    pub(super) fn encode_behind(&self, snapshot: &mut Vec<u8>) {
        if *self == Self::default() {
            return;
        }
        let encoded = bincode::serde::encode_to_vec(self, bincode::config::standard());
        snapshot.extend(encoded.expect("the fields hold only types that bincode can write"));
    }

    /// Decodes what follows the other fields in a snapshot; `None` when it is not valid.
    pub(super) fn decode(data: &[u8]) -> Option<Self> {
        if data.is_empty() {
            return Some(Self::default());
        }
        let decoded = bincode::serde::decode_from_slice(data, bincode::config::standard());
        decoded.ok().map(|(extension, _)| extension)
    }
}
