//! Metrics of what an entry goes by.

use dotterelrudder_gateway::Dialect;

use super::server::EntryServer;

impl<D> EntryServer<D>
where
    D: Dialect,
{
    /// Sets the metrics of what this entry believes now.
    pub(super) fn update_state_metrics(&self) {
        let now = self.now();
        let gateway = self.gateway();
        let counts = gateway.count_runners(now);
        let age = gateway.confirmation_age(now);
        drop(gateway);
        for (state, runners) in counts {
            self.metrics.set_runners(state.as_str(), runners);
        }
        if let Some(age) = age {
            self.metrics.set_confirmation_age(age.as_secs_f64());
        }
    }
}
