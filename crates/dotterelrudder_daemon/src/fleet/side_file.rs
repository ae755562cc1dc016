//! The settings file of a side of a fleet.

use std::net::SocketAddr;

use compact_str::CompactString;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use serde::Deserialize;

use super::Seeds;
use crate::settings::SettingsFile;

/// Settings of a side.
#[derive(Debug, Clone, Deserialize)]
pub struct FleetSideFile {
    /// Name of the side; runners receive it as the holder of an order.
    pub name: InstanceName,
    /// Data centre of the side.
    pub data_centre: DataCentre,
    /// Control instances known at the start, and the port for connections between processes.
    #[serde(flatten)]
    pub seeds: Seeds,
    /// Address at which the side serves metrics and health checks.
    pub admin: SocketAddr,
    /// Address of the runner beside the side.
    pub runner: SocketAddr,
    /// Memory of the machine in MiB; without it, what the operating system reports.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Descriptors that the process may open; without it, what the operating system reports.
    #[serde(default)]
    pub max_descriptors: Option<u32>,
    /// Secret shared by all processes of the deployment; empty on a closed network.
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
        "memory_mb",
        "max_descriptors",
        "secret",
    ];
}
