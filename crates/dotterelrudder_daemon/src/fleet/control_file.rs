//! The settings file of a control instance of a fleet.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use compact_str::CompactString;
use dotterelrudder_types::DataCentre;
use dotterelrudder_types::InstanceName;
use serde::Deserialize;

use super::link_name;
use super::Seeds;
use crate::settings::SettingsFile;

/// Settings of a control instance.
#[derive(Debug, Clone, Deserialize)]
pub struct FleetControlFile {
    /// Name of the instance in its logs; peers know it by [`FleetControlFile::link_name`].
    pub name: InstanceName,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// IP address at which other processes reach the instance.
    pub ip: IpAddr,
    /// IP address to listen at, if it differs from `ip`.
    #[serde(default)]
    pub listen_ip: Option<IpAddr>,
    /// Control instances known at the start, and the port for connections between processes.
    #[serde(flatten)]
    pub seeds: Seeds,
    /// Address at which the instance serves metrics and health checks.
    pub admin: SocketAddr,
    /// Address at which the instance serves the operators' API.
    pub operators: SocketAddr,
    /// Folder of the journal.
    pub data_folder: PathBuf,
    /// Whether an instance with an empty data folder may bootstrap a new deployment if no seed
    /// belongs to one.
    pub bootstrap: bool,
    /// Number of control instances that may fail at once; sets the number of voters.
    pub tolerated_losses: usize,
    /// Address of the platform's list of backend servers.
    pub instance_list: SocketAddr,
    /// Calls per second that the list allows to all instances together.
    pub list_calls_per_s: f64,
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

/// Upper limit of list calls per second. The resulting period of 0.4 s is half the lag of the list
/// in present deployments.
const MAX_LIST_CALLS_PER_S: f64 = 2.5;
/// Share of `list_calls_per_s` that is used, from 0 to 1: two instances may poll the list around a
/// change of leader.
const USED_LIST_RATE_SHARE: f64 = 0.25;

impl FleetControlFile {
    /// Returns the name by which other processes know the instance: its address.
    pub fn link_name(&self) -> InstanceName {
        link_name(self.ip, self.seeds.link_port)
    }

    /// Returns the number of voters, which leaves a quorum after the tolerated losses; at least the
    /// number of seeds, up to 3.
    pub fn voters(&self) -> usize {
        let wanted = 2 * self.tolerated_losses + 1;
        wanted.max(self.seeds.seeds.len().min(3))
    }

    /// Returns whether this instance may bootstrap the deployment: the settings allow it and its
    /// name is the smallest of all seeds'.
    pub fn may_bootstrap(&self) -> bool {
        let names = self.seeds.names();
        self.bootstrap && names.iter().min() == Some(&self.link_name())
    }

    /// Returns the pause between two reads of the list.
    pub fn list_period(&self) -> Duration {
        let rate = (self.list_calls_per_s * USED_LIST_RATE_SHARE).clamp(0.1, MAX_LIST_CALLS_PER_S);
        Duration::from_secs_f64(1.0 / rate)
    }
}

impl SettingsFile for FleetControlFile {
    const KEYS: &'static [&'static str] = &[
        "name",
        "data_centre",
        "ip",
        "listen_ip",
        "seeds",
        "link_port",
        "admin",
        "operators",
        "data_folder",
        "bootstrap",
        "tolerated_losses",
        "instance_list",
        "list_calls_per_s",
        "memory_mb",
        "max_descriptors",
        "secret",
    ];
}
