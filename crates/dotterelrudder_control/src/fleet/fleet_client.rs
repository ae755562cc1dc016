//! The leader's record of one fleet client, that is, of an entry or side that polls the leader.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelrudder_types::DataCentre;

/// A process that sends fleet queries to the leader: an entry, or the side of a runner.
#[derive(Debug, Clone)]
pub(crate) struct FleetClient {
    /// Number of the client's last query, repeated in each fleet state sent to it.
    pub(crate) last_query: u64,
    /// Arrival time of the last query.
    pub(crate) queried_at: Duration,
    /// Version of the deployment configuration that the client reported or was sent since.
    pub(crate) configuration_version: u64,
    /// Address of the side's runner; `None` for an entry.
    pub(crate) colocated_runner: Option<SocketAddr>,
    /// Number of the directory of stored parts that the client reported or was sent since.
    pub(crate) directory_sent: u64,
    /// Directory number that the client reported in its last query.
    pub(crate) directory_held_at_query: u64,
    /// The leader's directory number when the last query arrived.
    pub(crate) directory_at_query: u64,
    /// Number of the list of backend servers last sent to the client; 0 for none.
    pub(crate) runner_list_sent: u64,
    /// The evacuated data centres last sent to the client; `None` if none were sent.
    pub(crate) evacuations_sent: Option<Vec<DataCentre>>,
}

impl FleetClient {
    /// Returns the directory number that the client holds once all updates in flight have arrived;
    /// `held` is the number that its new query reports.
    ///
    /// Updates are sent every few hundredths of a second, so that a query often reports a number
    /// older than the last update sent. Such a client must not get a snapshot, which is thousands
    /// of times as long as an update. A client has lost an update if its number neither increases
    /// between two queries nor reaches the number that the leader had at the first of them.
    pub(crate) fn directory_after_delivery(&self, held: u64) -> u64 {
        let progressed = held > self.directory_held_at_query || held >= self.directory_at_query;
        if held > 0 && held <= self.directory_sent && progressed {
            self.directory_sent
        } else {
            held
        }
    }
}
