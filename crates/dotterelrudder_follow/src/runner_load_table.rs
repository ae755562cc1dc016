//! What an entry remembers of the loads that it was told.

use std::collections::HashMap;
use std::net::SocketAddr;

use dotterelrudder_wire::RunnerAttributes;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerLoadUpdate;

/// Completes what the leader tells of loads by what it told before. A leader tells everything to an
/// entry that it doesn't know, so that a book never outlives what it rests on.
#[derive(Debug, Default)]
pub struct RunnerLoadTable {
    attributes: HashMap<SocketAddr, RunnerAttributes>,
}

impl RunnerLoadTable {
    /// Returns the whole loads; those of runners that nothing was told of are left out.
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
