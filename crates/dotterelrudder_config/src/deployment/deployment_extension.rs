//! What newer releases added to a deployment configuration.

use dotterelrudder_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::WarmUp;

/// The fields of a configuration that processes of an older release can't decode. They are encoded
/// beside the configuration and put back by [`super::DeploymentConfiguration::extend`], so that the
/// encoding of a configuration without them stays as it was.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DeploymentExtension {
    /// The services whose backend servers warm up.
    pub warm_ups: Vec<(ServiceName, WarmUp)>,
}

impl DeploymentExtension {
    /// Returns whether the configuration uses none of the fields.
    pub fn is_empty(&self) -> bool {
        self.warm_ups.is_empty()
    }
}
