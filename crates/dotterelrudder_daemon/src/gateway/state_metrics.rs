//! Metrics of the fleet's state as an entry holds it.

use dotterelrudder_gateway::Dialect;

use super::server::EntryServer;

impl<D> EntryServer<D>
where
    D: Dialect,
{
    /// Updates the number of runners in each condition and the age of the last confirmation.
    pub(super) fn update_state_metrics(&self) {
        let now = self.now();
        let gateway = self.gateway();
        let counts = gateway.count_runners(now);
        let age = gateway.confirmation_age(now);
        let (limited, permits) = (gateway.limited_runners(), gateway.unused_permits());
        let cold = gateway.cold_runners();
        let (parts, requests) = gateway.part_blocks();
        drop(gateway);
        self.metrics.set_blocks(parts, requests);
        self.metrics.set_limited_runners(limited, permits);
        self.metrics.set_cold_runners(cold);
        for (state, runners) in counts {
            self.metrics.set_runners(state.as_str(), runners);
        }
        if let Some(age) = age {
            self.metrics.set_confirmation_age(age.as_secs_f64());
        }
    }
}
