//! The control instances that the settings name, read again while the process runs.

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

/// How often the settings file is compared with what was read, for a change without a signal.
const REREAD_INTERVAL: Duration = Duration::from_secs(2);

/// The part of a settings file that may change while the process runs.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Seeds {
    /// Where control instances serve operators.
    pub seeds: Vec<SocketAddr>,
    /// The port at which every process listens for other processes, alike on all instances.
    pub link_port: u16,
}

/// Returns the name of the control instance at an address: its address for other processes, since
/// nothing else of it is known before the first contact.
pub fn link_name(ip: IpAddr, link_port: u16) -> InstanceName {
    InstanceName(format_compact!("{}", SocketAddr::new(ip, link_port)))
}

/// Returns the control instances with the addresses that [`link_name`] made their names of; others
/// can't be dialed.
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
    /// Returns the names of the control instances.
    pub fn names(&self) -> Vec<InstanceName> {
        let seeds = self.seeds.iter();
        seeds.map(|s| link_name(s.ip(), self.link_port)).collect()
    }

    /// Calls `changed` whenever the file names other seeds, for as long as the process lives.
    pub async fn watch<F>(mut self, path: PathBuf, log: Logger, changed: F)
    where
        F: Fn(Vec<InstanceName>),
    {
        let mut hangup = match signal(SignalKind::hangup()) {
            Ok(hangup) => hangup,
            Err(e) => {
                warn!(log, "no handler for the reload signal"; "error" => e.to_string());
                return;
            }
        };
        loop {
            tokio::select! {
                _ = hangup.recv() => info!(log, "reload asked for"),
                () = tokio::time::sleep(REREAD_INTERVAL) => {}
            }
            let text = match std::fs::read_to_string(&path) {
                Ok(text) => text,
                Err(e) => {
                    warn!(log, "settings not read again";
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
                Err(e) => warn!(log, "settings not read again";
                    "file" => %path.display(), "error" => e.to_string()),
            }
        }
    }
}
