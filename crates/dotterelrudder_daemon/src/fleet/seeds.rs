//! The seeds: the control instances named in the settings file, which is read again while the
//! process runs.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use compact_str::format_compact;
use dotterelrudder_types::InstanceName;
use serde::Deserialize;
use slog::info;
use slog::warn;
use slog::Logger;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Interval at which the settings file is read again, so that a change is noticed without SIGHUP.
const REREAD_INTERVAL: Duration = Duration::from_secs(2);

/// The part of a settings file that may change while the process runs.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Seeds {
    /// Addresses at which control instances serve operators; only the IP address is used here.
    pub seeds: Vec<SocketAddr>,
    /// Port at which each process listens for other processes; the same on all instances.
    pub link_port: u16,
}

/// Returns the name of a control instance: its IP address and link port, since nothing else is
/// known of it before the first contact.
pub fn link_name(ip: IpAddr, link_port: u16) -> InstanceName {
    InstanceName(format_compact!("{}", SocketAddr::new(ip, link_port)))
}

/// Returns each control instance with its address, parsed from the name that [`link_name`] built.
/// Names that are not addresses are left out, since they cannot be dialled.
pub(super) fn link_targets<'a, N>(names: N) -> Vec<(InstanceName, SocketAddr)>
where
    N: IntoIterator<Item = &'a InstanceName>,
{
    let names = names.into_iter();
    names
        .filter_map(|n| Some((n.clone(), n.as_str().parse().ok()?)))
        .collect()
}

impl Seeds {
    /// Returns the names of the control instances in the seeds.
    pub fn names(&self) -> Vec<InstanceName> {
        let seeds = self.seeds.iter();
        seeds.map(|s| link_name(s.ip(), self.link_port)).collect()
    }

    /// Calls `changed` with the new names whenever the seeds in the file change. Reads the file on
    /// SIGHUP and every `REREAD_INTERVAL` until the process ends.
    pub async fn watch<F>(mut self, path: PathBuf, log: Logger, changed: F)
    where
        F: Fn(Vec<InstanceName>),
    {
        let mut hangup = match signal(SignalKind::hangup()) {
            Ok(hangup) => hangup,
            Err(e) => {
                warn!(log, "no handler for SIGHUP, seeds will not be reloaded";
                    "error" => e.to_string());
                return;
            }
        };
        loop {
            tokio::select! {
                _ = hangup.recv() => info!(log, "reload requested by SIGHUP"),
                () = tokio::time::sleep(REREAD_INTERVAL) => {}
            }
            let text = match std::fs::read_to_string(&path) {
                Ok(text) => text,
                Err(e) => {
                    warn!(log, "settings file cannot be reloaded, seeds stay as they are";
                        "file" => %path.display(), "error" => e.to_string());
                    continue;
                }
            };
            match toml::from_str::<Self>(&text) {
                Ok(newer) if newer != self => {
                    info!(log, "seeds changed"; "seeds" => format!("{:?}", newer.seeds));
                    self = newer;
                    changed(self.names());
                }
                Ok(_) => {}
                Err(e) => warn!(log, "settings file cannot be reloaded, seeds stay as they are";
                    "file" => %path.display(), "error" => e.to_string()),
            }
        }
    }
}
