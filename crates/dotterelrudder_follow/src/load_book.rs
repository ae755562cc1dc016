//! What an entry remembers of the loads that it was told.

use std::collections::HashMap;
use std::net::SocketAddr;

use dotterelrudder_wire::LoadNews;
use dotterelrudder_wire::RunnerLoad;
use dotterelrudder_wire::RunnerTraits;

/// Completes what the leader tells of loads by what it told before. A leader tells everything to an
/// entry that it doesn't know, so that a book never outlives what it rests on.
#[derive(Debug, Default)]
pub struct LoadBook {
    traits: HashMap<SocketAddr, RunnerTraits>,
}

impl LoadBook {
    /// Returns the whole loads; those of runners that nothing was told of are left out.
    pub fn complete(&mut self, news: Vec<LoadNews>) -> Vec<RunnerLoad> {
        let whole = news.into_iter().filter_map(|mut news| {
            if let Some(traits) = news.traits.take() {
                self.traits.insert(news.reading.address, *traits);
            }
            let traits = self.traits.get(&news.reading.address)?.clone();
            let reading = news.reading;
            Some(RunnerLoad { reading, traits })
        });
        whole.collect()
    }
}
