//! The settings of a control instance of a fleet.

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

/// What a control instance is told.
#[derive(Debug, Clone, Deserialize)]
pub struct FleetControlFile {
    /// The instance's name, for logs.
    pub name: InstanceName,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The address under which other processes reach it.
    pub ip: IpAddr,
    /// Where it listens for them, if that is another address.
    #[serde(default)]
    pub listen_ip: Option<IpAddr>,
    /// The control instances known at the start.
    #[serde(flatten)]
    pub seeds: Seeds,
    /// Where it serves metrics.
    pub admin: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// The folder that holds the journal.
    pub data_folder: PathBuf,
    /// Whether an empty folder may found a new deployment, when no seed belongs to one.
    pub bootstrap: bool,
    /// Control instances that may be lost at once.
    pub tolerated_losses: usize,
    /// The address of the platform's list of backend servers.
    pub instance_list: SocketAddr,
    /// Calls a second that the list allows to all instances together.
    pub list_calls_per_s: f64,
    /// The secret that all processes of the deployment share; empty on a closed network.
    #[serde(default)]
    pub secret: CompactString,
}

/// Calls of the list a second at most: half of its lag in the deployments of today.
const MAX_LIST_CALLS_PER_S: f64 = 2.5;
/// The share of the allowed calls that is used, since two instances may call around a change of
/// the leader.
const USED_LIST_RATE_SHARE: f64 = 0.25;

impl FleetControlFile {
    /// Returns the name under which other processes know the instance.
    pub fn link_name(&self) -> InstanceName {
        link_name(self.ip, self.seeds.link_port)
    }

    /// Returns how many replicas vote: enough for a quorum after the tolerated losses.
    pub fn voters(&self) -> usize {
        let wanted = 2 * self.tolerated_losses + 1;
        wanted.max(self.seeds.seeds.len().min(3))
    }

    /// Returns whether this instance founds the deployment: of all seeds the first by name.
    pub fn may_bootstrap(&self) -> bool {
        let names = self.seeds.names();
        self.bootstrap && names.iter().min() == Some(&self.link_name())
    }

    /// Returns the time between two calls of the list.
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
        "secret",
    ];
}
