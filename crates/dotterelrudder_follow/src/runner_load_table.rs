//! The runner attributes that an entry keeps to complete load updates.

use std::collections::HashMap;
use std::net::SocketAddr;

use dotterelrudder_wire::RunnerAttributes;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerLoadUpdate;

/// Completes load updates from the leading control instance, which repeats the attributes of a
/// runner only when they changed. A leader sends all attributes to an entry that is new to it, so
/// that the table of an entry is never older than what the leader assumes.
#[derive(Debug, Default)]
pub struct RunnerLoadTable {
    attributes: HashMap<SocketAddr, RunnerAttributes>,
}

impl RunnerLoadTable {
    /// Returns the load of each updated runner with its attributes. Leaves out runners whose
    /// attributes were never received.
    pub fn complete(&mut self, updates: Vec<RunnerLoadUpdate>) -> Vec<RunnerLoad> {
        let loads = updates.into_iter().filter_map(|mut update| {
            if let Some(attributes) = update.traits.take() {
                self.attributes.insert(update.reading.address, *attributes);
            }
            let traits = self.attributes.get(&update.reading.address)?.clone();
            let reading = update.reading;
            Some(RunnerLoad { reading, traits })
        });
        loads.collect()
    }
}
