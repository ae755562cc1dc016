//! The settings of a side of a fleet.

use std::net::SocketAddr;

use compact_str::CompactString;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use serde::Deserialize;

use super::Seeds;
use crate::settings::SettingsFile;

/// What a side is told.
#[derive(Debug, Clone, Deserialize)]
pub struct FleetSideFile {
    /// The instance's name.
    pub name: InstanceName,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The control instances known at the start.
    #[serde(flatten)]
    pub seeds: Seeds,
    /// Where it serves metrics.
    pub admin: SocketAddr,
    /// The runner beside it.
    pub runner: SocketAddr,
    /// The secret that all processes of the deployment share; empty on a closed network.
    #[serde(default)]
    pub secret: CompactString,
}

impl SettingsFile for FleetSideFile {
    const KEYS: &'static [&'static str] = &[
        "name",
        "data_centre",
        "seeds",
        "link_port",
        "admin",
        "runner",
        "secret",
    ];
}
